#pragma once

#include <Base/monotonic_time.h>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace bilberryyard {

/// How long the quick quarter of a service's answers takes when new flows begin to be refused: both must be exceeded.
struct refusal_limit {
    /// Relative to the target latency of the route.
    double targetShare = 0;
    /// Relative to what answers take without a queue; the work itself varies less.
    double unloadedFactor = 0;
    auto operator<=>(refusal_limit const&) const = default;
};

/// Weights and limits of placement.
struct placement_settings {
    /// How often servers announce themselves.
    duration announcementInterval = std::chrono::milliseconds(1'000);
    /// A server that no control host has heard for this many intervals gets no new flows: two announcements are
    /// missing, and a third is late.
    double silentIntervals = 2.75;
    /// The same for a server that has stopped answering callers: one announcement is missing.
    double suspectIntervals = 1.5;
    /// A leaving server gets no new flows; repeated packets of a handshake that began earlier still go there for
    /// this time, the longest time that a caller repeats them.
    duration handshakeLimit = std::chrono::milliseconds(1'400);
    /// A server that has answered nobody for longer while a handshake had to be repeated loses that handshake.
    duration answerGap = std::chrono::milliseconds(150);
    /// Packets that callers had to repeat, without any answer to anybody meanwhile, after which a server counts as
    /// dead: its open flows with idempotent requests are reset, so that callers turn to another server.
    uint32_t presumeDeadAfter = 3;
    /// How long it must have answered nobody by then; and at least this many usual response times, for a server
    /// that is slow or has a queue still answers somebody.
    duration presumeDeadSilence = std::chrono::milliseconds(300);
    double presumeDeadResponses = 8;
    /// Callers repeat a packet after 200 ms at the earliest. A repetition that arrives sooner after the first one was
    /// held up with it on the way to the balancer, or in its socket, and says nothing about the server.
    duration shortestRepetition = std::chrono::milliseconds(150);
    /// Repeated packets without any answer after which a server is ejected. One may be a lost packet.
    uint32_t ejectAfter = 2;
    duration firstEjection = std::chrono::milliseconds(1'000);
    duration longestEjection = std::chrono::milliseconds(8'000);
    /// Share of a service's servers that may be ejected on evidence; with more, the path is at fault.
    double ejectionCap = 0.5;
    /// What a flow without a request costs, in requests: callers pause between requests on a long flow. The share of
    /// the open flows of a service that are busy is learned; these are its bounds.
    double smallestIdleFlowWeight = 0.01;
    double largestIdleFlowWeight = 0.3;
    /// Weight of a new sample of that share, taken with each new flow.
    double idleFlowGain = 0.01;
    /// What leaving the own availability zone costs, in requests per slot.
    double remoteZoneCost = 0.7;
    /// The same for downloads, whose bytes between zones cost more than a short wait.
    double remoteZoneDownloadCost = 1.5;
    /// How much slower a server counts while it warms up.
    double warmUpSlowness = 1.6;
    /// Weight of a new sample of a server's response time.
    double slownessGain = 0.3;
    double largestSlowness = 8;
    /// An estimate of slowness halves its distance to 1 in this time, so that a server gets another chance.
    duration slownessHalfLife = std::chrono::milliseconds(2'500);
    /// Overload: from when on new flows of the least important routes to a service are refused, and those of the
    /// others. Half of the answers take more than twice as long as the quick quarter once there is a queue.
    refusal_limit refuseLeast { 0.25, 2 };
    refusal_limit refuseHigher { 0.5, 3 };
    /// Refusals grow to the largest share over this further part of the target latency.
    double refuseRamp = 0.25;
    /// The others show when the overload is over.
    double largestRefusedShare = 0.95;
    /// Refused callers are refused again for this time; about the time in which a caller's retries are over.
    duration refusalPeriod = std::chrono::milliseconds(2'000);
    /// How long there must have been a queue before anybody is refused: longer than servers need for what has gathered
    /// during the restart of all balancers.
    duration overloadPatience = std::chrono::milliseconds(2'000);
    /// Without an answer for longer nothing is known about overload.
    duration overloadMemory = std::chrono::milliseconds(1'000);
    /// A request without an answer counts as given up after this time.
    duration requestLimit = std::chrono::milliseconds(10'000);
    /// Flows that are observed at a time; further ones are forwarded without being observed.
    size_t maximumObservedFlows = 65'536;
    auto operator<=>(placement_settings const&) const = default;
};

} // namespace bilberryyard
