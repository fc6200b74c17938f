#pragma once

#include <Base/monotonic_time.h>
#include <Placement/zone_spill_settings.h>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace bilberryyard {

/// Lower quartile of a service's response times above which new flows are refused. Both limits must be exceeded.
struct refusal_threshold {
    /// Relative to the target latency of the route.
    double targetShare = 0;
    /// Relative to the response time without a queue. The processing time itself varies less than this.
    double unloadedFactor = 0;
    auto operator<=>(refusal_threshold const&) const = default;
};

/// Weights, thresholds and timeouts of placement.
struct placement_settings {
    /// Interval between the announcements of a server.
    duration announcementInterval = std::chrono::milliseconds(1'000);
    /// Announcement intervals without an announcement at any control host after which a server gets no new flows: two
    /// announcements are missing, and a third is late.
    double unresponsiveIntervals = 2.75;
    /// The same for an ejection candidate, a server that has stopped responding to callers: one announcement is
    /// missing.
    double ejectionCandidateIntervals = 1.5;
    /// Longest time for which a caller retransmits a handshake packet. For this time a draining server still gets
    /// retransmitted packets of earlier handshakes, and new flows if no server of its service is ready. A handshake
    /// without a packet for longer is no longer tracked.
    duration handshakeTimeout = std::chrono::milliseconds(1'400);
    /// A repeated handshake is moved to another server when its server has not responded to any caller for longer.
    duration responseGap = std::chrono::milliseconds(150);
    /// Retransmissions without any response to any caller in between after which a server is presumed dead if it has
    /// also stopped announcing itself. Its open flows with idempotent requests are then reset, so that callers retry at
    /// another server.
    uint32_t presumedDeadRetransmissions = 3;
    /// Minimum time without any response before a server is presumed dead.
    duration presumedDeadTimeout = std::chrono::milliseconds(300);
    /// The same in mean response times of the service; the longer time applies. A server that is slow or has a queue
    /// still responds to some callers within this time.
    double presumedDeadResponseTimes = 8;
    /// Announcement intervals without an announcement at the control host that the server announces itself to, after
    /// which the server is overdue. It is the age at which control hosts report servers as late.
    double overdueIntervals = 1.2;
    /// Minimum time between two queries for the exact time of a server's last announcement.
    duration announcementQueryInterval = std::chrono::milliseconds(100);
    /// A control host whose lease is older is not expected to respond to such a query. Its servers are overdue after
    /// unresponsiveIntervals, in which they announce themselves to another control host.
    duration leaseTimeout = std::chrono::milliseconds(1'500);
    /// Callers retransmit a packet after 200 ms at the earliest. A retransmission that arrives sooner after the first
    /// transmission was delayed together with it, on the way to the balancer or in its socket, and says nothing about
    /// the server.
    duration minimumRetransmissionDelay = std::chrono::milliseconds(150);
    /// A caller that waits for a response retransmits every 1.6 s at least; the rest is for the time on the way. After
    /// a longer time without any retransmission, the earlier ones belong to an outage that has ended and say nothing
    /// about the server.
    duration maximumRetransmissionInterval = std::chrono::milliseconds(2'000);
    /// Packets that a caller sends without an acknowledgement.
    uint32_t callerWindowPackets = 16;
    /// Retransmissions without any response after which a server is ejected. A single one may be a lost packet.
    uint32_t ejectionRetransmissions = 2;
    duration initialEjectionDuration = std::chrono::milliseconds(1'000);
    duration maximumEjectionDuration = std::chrono::milliseconds(8'000);
    /// Largest share of a service's servers that may be ejected at a time. When more servers seem to fail, the network
    /// path is the likelier cause.
    double maximumEjectedShare = 0.5;
    /// Cost of a flow without a request, in requests; callers pause between the requests of a long flow. The weight is
    /// the smoothed share of the service's open flows that are busy, within these bounds.
    double minimumIdleFlowWeight = 0.01;
    double maximumIdleFlowWeight = 0.3;
    /// Weight of a new sample of that share; each new flow adds a sample.
    double idleFlowGain = 0.01;
    /// When new flows leave the balancer's availability zone.
    zone_spill_settings zoneSpill;
    /// Lower bound of a server's slowness during its warm-up.
    double warmUpSlowness = 1.6;
    /// Weight of a new sample of a server's relative response time.
    double slownessGain = 0.3;
    double maximumSlowness = 8;
    /// The distance of a server's slowness to 1 halves in this time, so that a slow server gets new flows again.
    duration slownessHalfLife = std::chrono::milliseconds(2'500);
    /// Thresholds for new flows of the least important routes to a service. They are far below the target latency
    /// because, with a queue, half of the responses take more than twice as long as the lower quartile.
    refusal_threshold leastImportantRefusal { 0.25, 2 };
    /// Thresholds for new flows of the other routes.
    refusal_threshold moreImportantRefusal { 0.5, 3 };
    /// The refused share grows from 0 to its maximum while the lower quartile rises above the threshold by this part of
    /// the target latency.
    double refusalRamp = 0.25;
    /// Below 1, so that the remaining flows show when the overload ends.
    double maximumRefusedShare = 0.95;
    /// A refused caller stays refused for this time, which is about as long as a caller retries.
    duration refusalPeriod = std::chrono::milliseconds(2'000);
    /// Flows are refused only after there has been a queue for this time. It is longer than servers need to work off
    /// the queue that builds up during a restart of all balancers.
    duration overloadDelay = std::chrono::milliseconds(2'000);
    /// The overload state of a service expires after this time without a response.
    duration overloadExpiry = std::chrono::milliseconds(1'000);
    /// A request without a response is regarded as abandoned after this time.
    duration requestTimeout = std::chrono::milliseconds(10'000);
    /// Limits the tracked flows; further flows are forwarded without being tracked.
    size_t maximumObservedFlows = 65'536;
    /// Rate of the balancer's link; 0 if unknown.
    uint64_t linkBytesPerSecond = 0;
    auto operator<=>(placement_settings const&) const = default;
};

} // namespace bilberryyard
