#pragma once

#include <Base/monotonic_time.h>
#include <cstdint>

namespace bilberryyard {

/// What a balancer has seen of one backend server through the packets of callers. The server's answers do not pass
/// the balancer; an answer shows when the caller acknowledges its first bytes.
struct backend_load {
    /// Flows whose handshake is not complete.
    uint32_t opening = 0;
    /// Requests of which no byte of an answer has been acknowledged.
    uint32_t busy = 0;
    /// Flows past their handshake.
    uint32_t open = 0;
    /// Smoothed time from a request to the first byte of its answer relative to that of other servers; 1 is usual.
    double slowness = 1;
    monotonic_time slownessAt;
    /// The latest packet that shows that the server answers.
    monotonic_time answeredAt;
    /// Packets that callers had to repeat since then.
    uint32_t unanswered = 0;
    /// When the oldest of those packets was sent first.
    monotonic_time unansweredSince;
    monotonic_time ejectedUntil;
    /// How often the server was ejected in a row.
    uint32_t ejections = 0;
};

} // namespace bilberryyard
