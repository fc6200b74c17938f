#pragma once

#include <Base/identifiers.h>
#include <Base/monotonic_time.h>
#include <Membership/server_announcement.h>
#include <chrono>
#include <compare>
#include <cstdint>

namespace bilberryyard {

/// Settings of the health evaluation (docs/design.md section 3.4).
struct health_settings {
    /// Length of the sliding window in which handshakes are counted.
    duration window = std::chrono::seconds { 5 };
    /// A handshake without progress for this long counts as failed. Covers the initial retransmission timeout of TCP
    /// (RFC 6298 section 2) and the second attempt.
    duration handshakeTimeout = std::chrono::milliseconds { 1500 };
    /// A server with fewer sampled handshakes in the window is not ejected.
    uint32_t minimumHandshakes = 8;
    /// A server is an ejection candidate above this share of failed handshakes.
    double failureRatio = 0.5;
    /// At most this share of a service's servers is ejected at once.
    double ejectionCap = 0.3;
    duration initialBackOff = std::chrono::seconds { 5 };
    duration maximumBackOff = std::chrono::seconds { 60 };
    /// Load reports change a weight by at most this factor in either direction (report_weight_cap).
    double weightCap = 2.0;
    /// Time constant of the smoothing of load reports.
    duration loadSmoothing = std::chrono::seconds { 15 };
    /// Relative load differences below this do not change weights. The number of busy slots fluctuates by more than
    /// that from one report to the next.
    double loadTolerance = 0.2;
    auto operator<=>(health_settings const&) const = default;
};

/// Handshakes of a server on the sampled flows, counted by one entry host since its last statistics.
struct handshake_statistics {
    server_id server;
    /// First SYNs of flows that were sent to the server.
    uint32_t started = 0;
    /// Repeated SYNs.
    uint32_t retransmitted = 0;
    /// Flows whose caller acknowledged data of the server for the first time.
    uint32_t progressed = 0;
    auto operator<=>(handshake_statistics const&) const = default;
};

/// Result of the health evaluation of a server.
struct health_evaluation {
    /// The server must not get new flows although it reports to be serving.
    bool isEjected = false;
    /// Factor for the server's configured weight, derived from its reported load.
    double weight = 1.0;
    /// When the last ejection of the server ended; its cold start begins at that time.
    monotonic_time returnedAt;
    auto operator<=>(health_evaluation const&) const = default;
};

} // namespace bilberryyard
