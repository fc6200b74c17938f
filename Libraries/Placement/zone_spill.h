#pragma once

#include <Base/monotonic_time.h>
#include <Placement/route_table.h>
#include <Placement/zone_spill_settings.h>
#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace bilberryyard {

/// What the decision to leave the zone was based on.
struct zone_comparison {
    /// Share of the new flows that leaves, from 0 to 1.
    double share = 0;
    /// Expected response time in the own zone.
    duration ownTime {};
    /// Lowest expected response time in any other zone, with its distance and the cost of the bytes; zero if no other
    /// zone has servers.
    duration remoteTime {};
    auto operator<=>(zone_comparison const&) const = default;
};

/// Flows that have left the zone since the last report.
struct zone_departures {
    std::string service;
    request_kind kind = request_kind::Idempotent;
    std::string zone;
    uint64_t flows = 0;
    /// Estimate of the bytes that they move between zones.
    uint64_t bytes = 0;
    zone_comparison comparison;
    auto operator<=>(zone_departures const&) const = default;
};

/// Decides whether new flows leave the balancer's availability zone, how many of them and to which zone.
///
/// A balancer of a large fleet sees so little of the load that its own counts of requests do not show a queue; the
/// response times do. While responses of the own zone take longer than those of another zone would, including the way
/// there and the cost of the bytes, and long enough to endanger the target latency of the route, the share that leaves
/// grows in proportion to the logarithm of the ratio, and it falls again otherwise. Many balancers that decide alone
/// therefore settle where both take equally long. A zone without recent responses gets only a small share, because it
/// may be full itself.
class zone_spill {
public:
    /// @param ownZone The balancer's availability zone.
    zone_spill(zone_spill_settings const& settings, std::string const& ownZone);

    /// @return Index of a zone, which is added if it is new. The own zone has index 0.
    size_t indexOf(std::string const& zone);
    size_t zoneCount() const { return m_zones.size(); }

    /// @param time From a handshake packet, which was not repeated, to the packet that acknowledges the server's
    ///     response.
    void recordHandshakeTime(size_t zone, duration time);
    /// @param time From a request to the first byte of its response.
    void recordResponseTime(
        std::string const& service, request_kind kind, size_t zone, duration time, monotonic_time now);
    /// @param bytes Bytes of a request and of its response.
    void recordRequestBytes(std::string const& service, request_kind kind, uint64_t bytes);

    /// @return Additional cost of a server in another zone for a flow that need not leave, in requests a slot; 0 for
    ///     the own zone.
    double remoteCost(std::string const& service, request_kind kind, size_t zone) const;

    /// Chooses the zone of a new flow.
    /// @param targetLatency Of the route; zero if it has none.
    /// @param capacities Slots of the servers that may get the flow, by zone; fewer for servers that are warming up.
    /// @param shareDraw Random value from 0 to 1 that decides whether the flow leaves.
    /// @param zoneDraw Random value from 0 to 1 that decides where to.
    /// @return The other zone that the flow goes to; nullopt if it need not leave.
    std::optional<size_t> chooseZone(std::string const& service, request_kind kind, duration targetLatency,
        std::span<double const> capacities, double shareDraw, double zoneDraw, monotonic_time now);

    /// Counts a flow whose server is in another zone.
    void recordDeparture(std::string const& service, request_kind kind, size_t zone);

    /// @return Additional round trip to a zone; zero until it has been measured.
    duration distanceTo(size_t zone) const;
    zone_comparison comparisonOf(std::string const& service, request_kind kind) const;
    /// @return The flows that have left the zone since the last call, by service, kind and zone.
    std::vector<zone_departures> drainDepartures();

private:
    static constexpr size_t kindCount = 5;

    struct zone_path {
        std::string name;
        /// Recent minimum.
        double handshakeSeconds = 0;
    };
    struct zone_load {
        /// Smoothed logarithm of the response time divided by the one without a queue.
        double queue = 0;
        uint32_t samples = 0;
        monotonic_time lastSampleAt;
    };
    struct kind_state {
        /// Smoothed logarithm of the response time in seconds, without the distance.
        double logSeconds = 0;
        /// Recent minimum of logSeconds: the response time without a queue.
        double unloadedLogSeconds = 0;
        uint32_t samples = 0;
        double bytes = 0;
        monotonic_time decidedAt;
        /// Part of the share that grows and falls with time.
        double integral = 0;
        zone_comparison comparison;
        /// Flows that have left since the last report, by zone.
        std::vector<uint64_t> departures;
    };
    struct service_state {
        std::array<kind_state, kindCount> kinds;
        std::vector<zone_load> zones;
    };

    double distanceSeconds(size_t zone) const;
    /// @return The queue of a zone as known at this time; 0 without recent responses.
    double queueOf(service_state const& service, size_t zone, monotonic_time now) const;
    bool isFresh(service_state const& service, size_t zone, monotonic_time now) const;
    double expectedSeconds(service_state const& service, kind_state const& kind, size_t zone, monotonic_time now) const;
    void updateShare(kind_state& kind, double excess, double limit, monotonic_time now) const;

    zone_spill_settings m_settings;
    std::vector<zone_path> m_zones;
    std::map<std::string, service_state> m_services;
};

} // namespace bilberryyard
