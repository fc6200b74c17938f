#pragma once

#include <Base/identifiers.h>
#include <Packet/ip_address.h>
#include <absl/status/status.h>
#include <compare>
#include <cstdint>

namespace bilberryyard {

/// State that a backend server announces. It only advances within one incarnation.
enum class server_state : uint8_t {
    /// Not ready for flows yet.
    Starting,
    /// Accepts new flows.
    Serving,
    /// Finishes its open flows and accepts no new ones.
    Draining,
};

/// Identifies a backend server, which is one process that serves one service.
struct server_key {
    service_id service;
    ip_address address;
    /// UDP port for encapsulated packets.
    uint16_t port = 0;
    auto operator<=>(server_key const&) const = default;
};

/// The load part of an announcement.
struct load_report {
    uint32_t busySlots = 0;
    uint32_t queue = 0;
    uint32_t openConnections = 0;
    auto operator<=>(load_report const&) const = default;
};

/// The body of a registration (docs/design.md section 3.5).
struct server_announcement {
    server_key key;
    zone_id zone;
    server_state state = server_state::Starting;
    uint32_t slots = 1;
    uint32_t connectionLimit = 0;
    load_report load;
    /// Increases with each start of the server process.
    uint64_t incarnation = 0;
    auto operator<=>(server_announcement const&) const = default;
};

/// Checks the fields of a received announcement.
/// @return InvalidArgument that names the field, or ok.
absl::Status validateAnnouncement(server_announcement const& announcement);

} // namespace bilberryyard
