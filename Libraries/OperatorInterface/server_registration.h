#pragma once

#include <Configuration/document.h>
#include <Configuration/endpoint.h>
#include <OperatorInterface/http_request.h>
#include <absl/status/statusor.h>
#include <compare>
#include <cstdint>
#include <string>

namespace bilberryyard {

/// The state that a backend server reports in its registration.
enum class registered_state {
    Starting,
    Serving,
    Draining,
};

/// The body of POST /v1/servers (docs/design.md section 3.5).
struct server_registration {
    std::string service;
    /// Address and UDP port for encapsulated packets.
    endpoint server;
    std::string zone;
    registered_state state = registered_state::Starting;
    uint32_t slots = 0;
    uint32_t connectionLimit = 0;
    uint32_t busySlots = 0;
    uint32_t queue = 0;
    uint32_t openConnections = 0;
    /// Increases with each start of the server process.
    uint64_t incarnation = 0;
    auto operator<=>(server_registration const&) const = default;
};

/// Parses a registration.
/// @param request POST /v1/servers.
/// @return The registration; InvalidArgument with the key of the error.
absl::StatusOr<server_registration> readServerRegistration(http_request const& request);

/// @return The request body that readServerRegistration() parses.
document toDocument(server_registration const& registration);

} // namespace bilberryyard
