#pragma once

#include <Base/monotonic_time.h>
#include <Packet/ip_endpoint.h>
#include <compare>
#include <cstdint>
#include <string>

namespace bilberryyard {

enum class backend_state : uint8_t {
    Ready = 1,
    /// Finishes its open flows and accepts no new ones.
    Draining = 2,
    /// Has left, or a later incarnation at its address has replaced it.
    Gone = 3,
};

/// What one incarnation of a backend server announces about itself.
struct backend_announcement {
    /// Identifies the server. A restarted server may keep the identifier; startedAtMs tells the incarnations apart.
    std::string id;
    /// Identifies the server in datagrams that are addressed to it; 0 if the identifier has no tag.
    uint64_t tag = 0;
    std::string service;
    ip_endpoint address;
    std::string zone;
    /// Version of the server's software.
    std::string version;
    uint32_t slots = 1;
    backend_state state = backend_state::Ready;
    /// When the incarnation started, by the server's wall clock in milliseconds since 1970; 0 if unknown.
    int64_t startedAtMs = 0;
    /// Increases with each announcement of one incarnation.
    uint64_t sequence = 0;
    /// Remaining time in which the server is still slow after its start.
    duration remainingWarmUp {};
    auto operator<=>(backend_announcement const&) const = default;
};

/// @return A hash of what an announcement says about its server, apart from the sequence number and the warm-up, which
///     change with each announcement; the same on every host.
uint32_t digestOf(backend_announcement const& announcement);

} // namespace bilberryyard
