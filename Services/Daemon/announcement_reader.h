#pragma once

#include <Coordination/coordinator_settings.h>
#include <Membership/server_announcement.h>
#include <absl/status/statusor.h>
#include <map>
#include <string>
#include <string_view>

namespace bilberryyard {

/// Reads the body of POST /v1/servers.
/// @param body JSON or YAML.
/// @param configuration Gives services by name.
/// @param zones Zones by name.
/// @return The announcement; InvalidArgument that names the key, NotFound for an unknown service or zone.
absl::StatusOr<server_announcement> readAnnouncement(
    std::string_view body, coordinated_configuration const& configuration, std::map<std::string, zone_id> const& zones);

} // namespace bilberryyard
