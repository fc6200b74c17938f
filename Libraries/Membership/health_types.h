#pragma once

#include <Base/identifiers.h>
#include <Base/monotonic_time.h>
#include <Membership/server_announcement.h>
#include <chrono>
#include <compare>
#include <cstdint>

namespace bilberryyard {

/// Settings of the health evidence (docs/design.md section 3.4).
struct health_settings {
    /// Handshakes are counted over this time.
    duration window = std::chrono::seconds { 5 };
    /// A handshake counts as failed when it has made no progress for this long: the initial retransmission
    /// timeout of TCP (RFC 6298 section 2) and time for the second attempt.
    duration handshakeTimeout = std::chrono::milliseconds { 1500 };
    /// Sampled handshakes in the window below which a server is not judged.
    uint32_t minimumHandshakes = 8;
    /// A server is ejected above this share of failed handshakes.
    double failureRatio = 0.5;
    /// At most this share of a service's servers is ejected at once.
    double ejectionCap = 0.3;
    duration initialBackOff = std::chrono::seconds { 5 };
    duration maximumBackOff = std::chrono::seconds { 60 };
    /// A load report changes a weight by at most this factor in either direction (report_weight_cap).
    double weightCap = 2.0;
    /// Time constant of the smoothing of load reports.
    duration loadSmoothing = std::chrono::seconds { 15 };
    /// Relative load differences below this do not change weights; busy slots fluctuate by more than that
    /// from one report to the next.
    double loadTolerance = 0.2;
    auto operator<=>(health_settings const&) const = default;
};

/// What one entry host counted for a server since its last evidence, on the sampled flows.
struct handshake_statistics {
    server_id server;
    /// First SYNs of flows that were sent to the server.
    uint32_t started = 0;
    /// SYNs that were sent again.
    uint32_t retransmitted = 0;
    /// Flows whose caller acknowledged data of the server for the first time.
    uint32_t progressed = 0;
    auto operator<=>(handshake_statistics const&) const = default;
};

/// What the judge concludes about a server.
struct health_evaluation {
    /// The server should get no new flows although it reports that it serves.
    bool isEjected = false;
    /// Factor for the server's configured weight, from its reported load.
    double weight = 1.0;
    /// When the server last returned from an ejection; its cold start begins then.
    monotonic_time returnedAt;
    auto operator<=>(health_evaluation const&) const = default;
};

} // namespace bilberryyard
