#pragma once

#include <Base/monotonic_time.h>
#include <Packet/ip_endpoint.h>
#include <compare>
#include <cstdint>
#include <string>

namespace bilberryyard {

enum class backend_state : uint8_t {
    Ready = 1,
    /// Finishes its work and takes no new flows.
    Draining = 2,
    /// Has left, or a later start at its address has replaced it.
    Gone = 3,
};

/// What one start of a backend server says about itself.
struct backend_announcement {
    /// Names one start of a server. A server may start again under the identifier that it had.
    std::string id;
    /// The number by which a datagram names the server that it is meant for; 0 where the identifier has none.
    uint64_t tag = 0;
    std::string service;
    ip_endpoint address;
    std::string zone;
    /// Version of the server's software.
    std::string version;
    uint32_t slots = 1;
    backend_state state = backend_state::Ready;
    /// Time of day of the start in milliseconds since 1970, after the server's own clock; 0 when it gave none.
    int64_t startedAtMs = 0;
    /// Rises with each announcement of one start.
    uint64_t sequence = 0;
    /// How much longer the server stays slow after its start.
    duration remainingWarmUp {};
    auto operator<=>(backend_announcement const&) const = default;
};

} // namespace bilberryyard
