#pragma once

#include <Packet/ip_endpoint.h>
#include <Placement/warm_up_limit.h>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bilberryyard {

/// One announcement of a server, as far as it concerns the server's warm-up.
struct warm_up_announcement {
    uint32_t token = 0;
    int64_t startedAtMs = 0;
    uint64_t sequence = 0;
    duration remaining {};
    /// Duration of a whole warm-up; 0 if unknown.
    duration whole {};
    auto operator<=>(warm_up_announcement const&) const = default;
};

/// Grants parts of the warm-up limits of servers to balancers, on the control host that the servers announce themselves
/// to. The requests that all grants and all open flows may cause in any second stay within the limit of each server.
///
/// A grant is charged from when it is given until no second can contain a request of it any more. A server announces
/// itself to one host at a time. A host that takes over grants nothing until the grants of the earlier host have ended,
/// and a host without a recent announcement grants nothing, so no two hosts grant at the same time.
class warm_up_ledger {
public:
    /// @param announcementInterval Interval between the announcements of a server.
    warm_up_ledger(warm_up_times const& times, duration announcementInterval);

    /// Records an announcement that a server of a limited service sent to this host.
    void recordAnnouncement(warm_up_announcement const& announcement, warm_up_limit const& limit, monotonic_time now);

    /// Removes a server that has left, or whose service has no limit any more.
    void remove(uint32_t token) { m_servers.erase(token); }

    /// Records that this process runs. After a suspension it may have announcements that are older than they seem.
    void recordActivity(monotonic_time now);

    /// @return What the balancer may send to the server; nullopt if the server does not announce itself here.
    std::optional<warm_up_grant> grant(ip_endpoint const& balancer, warm_up_demand const& demand, monotonic_time now);

    /// Removes servers without recent announcements.
    void expire(monotonic_time now);

    /// @return Number of servers that are warming up.
    size_t warmingUpCount(monotonic_time now) const;
    /// @return Requests that were granted, since the start.
    uint64_t grantedCount() const { return m_grantedCount; }
    /// @return Requests that were not granted because the limit of the server was reached, since the start.
    uint64_t withheldCount() const { return m_withheldCount; }
    /// @return The same because grants of another control host may still have been in use.
    uint64_t deferredCount() const { return m_deferredCount; }

private:
    struct charge {
        ip_endpoint balancer;
        uint32_t requests = 0;
        monotonic_time grantedAt;
    };
    struct flow_report {
        uint32_t requestsPerSecond = 0;
        monotonic_time receivedAt;
        /// A lower report takes effect from this time on. A balancer that has restarted, or that routers send no more
        /// packets to, sees no flows although they are open.
        monotonic_time heldUntil;
    };
    struct server {
        warm_up_limit limit;
        int64_t startedAtMs = 0;
        /// When the server sent the latest announcement, as far as this host can tell.
        monotonic_time announcedAt;
        monotonic_time warmUpEndsAt;
        /// When grants of any other host have ended, and all balancers had time to report their flows.
        monotonic_time exclusiveFrom;
        /// Part of the limit that may be granted before `exclusiveFrom` is its reciprocal; 0 for nothing.
        uint32_t divisor = 0;
        std::vector<charge> charges;
        std::map<ip_endpoint, flow_report> reports;
    };

    struct charged_requests {
        uint32_t granted = 0;
        uint32_t ofOpenFlows = 0;
    };

    static void recordReport(flow_report& report, uint32_t requestsPerSecond, monotonic_time now);
    /// @return How long after its last announcement a server still counts as announcing itself here.
    duration announcementTimeout() const { return 3 * m_announcementInterval / 2; }
    duration takeoverDelay() const;
    /// @param announcement The first one of its server's incarnation that was received here.
    uint32_t divisorOf(warm_up_announcement const& announcement) const;
    /// Removes charges and reports that have ended.
    charged_requests chargedRequests(server& entry, monotonic_time now) const;
    /// @return Requests that may be granted now.
    uint32_t availableRequests(server& entry, monotonic_time now) const;

    warm_up_times m_times;
    duration m_announcementInterval;
    monotonic_time m_activeAt;
    std::unordered_map<uint32_t, server> m_servers;
    uint64_t m_grantedCount = 0;
    uint64_t m_withheldCount = 0;
    uint64_t m_deferredCount = 0;
};

} // namespace bilberryyard
