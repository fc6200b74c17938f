#pragma once

#include <Base/monotonic_time.h>
#include <compare>

namespace bilberryyard {

/// When new flows leave the balancer's availability zone.
struct zone_spill_settings {
    /// Additional response time that callers accept so that one kilobyte need not pass between zones.
    duration transferCostPerKilobyte = std::chrono::microseconds(250);
    /// Cost of leaving, in requests a slot, beyond the way and the bytes: a difference of one request at a server with
    /// two slots is coincidence.
    double leavingCost = 0.5;
    /// Limits the cost of leaving for a flow that need not leave, in requests a slot.
    double maximumRemoteCost = 3;
    /// The same until the response time of a kind of request has been measured.
    double initialRemoteCost = 0.7;
    double initialRemoteTransferCost = 1.5;
    /// Share of the target latency below which nobody leaves. The slowest of a hundred responses take about ten times
    /// as long as the geometric mean.
    double targetShare = 0.1;
    /// Excess of the own zone's response time, as a natural logarithm of the ratio, at which flows begin to leave.
    double beginExcess = 0.3;
    /// Smaller differences in either direction leave the share as it is.
    double toleratedExcess = 0.05;
    /// Part of the share that follows the excess at once. It damps the rest, which would otherwise swing because queues
    /// take time to grow and to drain.
    double proportionalShare = 0.2;
    /// Growth of the rest in a second for an excess of 1.
    double shareRate = 0.3;
    /// Below 1, so that responses keep showing the load of the own zone.
    double maximumShare = 0.9;
    /// Limit of the share while no other zone has recent responses.
    double unconfirmedShare = 0.15;
    /// A zone's responses are recent for this time.
    duration responseExpiry = std::chrono::milliseconds(3'000);
    /// Time constant of the smoothed response times.
    duration queueSmoothing = std::chrono::milliseconds(400);
    /// Largest weight of a new sample, for balancers that see few.
    double maximumQueueGain = 0.1;
    auto operator<=>(zone_spill_settings const&) const = default;
};

} // namespace bilberryyard
