#pragma once

#include <Base/monotonic_time.h>
#include <cstdint>

namespace bilberryyard {

/// Load and response times of one backend server, as one balancer derives them from the packets of callers. Packets
/// from servers to callers bypass the balancer; a response becomes visible when the caller acknowledges its first
/// bytes.
struct backend_load {
    /// Flows whose handshake is not complete.
    uint32_t opening = 0;
    /// Flows with a request for which no byte of the response has been acknowledged.
    uint32_t busy = 0;
    /// Flows whose handshake is complete.
    uint32_t open = 0;
    /// Smoothed time from a request to the first byte of its response, divided by the mean of the service; 1 is
    /// average.
    double slowness = 1;
    monotonic_time slownessUpdatedAt;
    /// When the latest packet arrived that acknowledges data or a handshake response of the server.
    monotonic_time lastResponseAt;
    /// Packets that callers have retransmitted since lastResponseAt, without a pause longer than
    /// placement_settings::maximumRetransmissionInterval in between.
    uint32_t retransmissionsSinceResponse = 0;
    monotonic_time lastRetransmissionAt;
    /// When the first transmission of the earliest of those packets arrived.
    monotonic_time withoutResponseSince;
    /// Packets that were forwarded to the server after it had left, and that callers have repeated since without any
    /// response in between.
    uint32_t unansweredSinceLeave = 0;
    monotonic_time ejectedUntil;
    /// Consecutive ejections without a response in between.
    uint32_t ejections = 0;
};

} // namespace bilberryyard
