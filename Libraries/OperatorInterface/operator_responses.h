#pragma once

#include <OperatorInterface/configuration_backend.h>
#include <OperatorInterface/http_response.h>
#include <string>
#include <vector>

namespace bilberryyard {

/// @param request GET /v1/configuration, with the parameters `stale`, `service` and `server`.
/// @return The configuration, or the settings in effect for a service or server; for a stale reading Unavailable with
///     revision and age, unless `stale=allow` is given.
http_response makeConfigurationResponse(http_request const& request, configuration_reading const& reading);

/// @param request POST /v1/changes.
http_response makeChangeResponse(
    http_request const& request, std::string const& requestId, command_result const& result);

/// Checks a change against a configuration without proposing it.
/// @param request POST /v1/changes?dry_run=true.
/// @return The response that the change would get now, with the resulting difference.
http_response makeDryRunResponse(
    http_request const& request, configuration_command const& command, configuration_reading const& reading);

/// @param request GET /v1/audit.
http_response makeAuditResponse(http_request const& request, audit_page const& page);

/// @param request GET /v1/status.
http_response makeStatusResponse(http_request const& request, std::vector<host_status> const& hosts);

/// @param request GET /v1/members.
http_response makeMembersResponse(http_request const& request, std::vector<control_member> const& members);

/// @return The time in UTC by RFC 3339 with milliseconds, for example "2026-01-31T08:00:00.250Z".
std::string formatWallTime(wall_time time);

} // namespace bilberryyard
