#pragma once

#include <Placement/flow_demand.h>
#include <Placement/flow_token.h>
#include <Placement/overload_control.h>
#include <Placement/route_table.h>
#include <Placement/warm_up_limit.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bilberryyard {

/// A server that is warming up, as a request for grants needs it.
struct warming_server {
    uint32_t token = noToken;
    std::string service;
    /// Flows that this balancer sees open on it.
    uint32_t openFlows = 0;
    auto operator<=>(warming_server const&) const = default;
};

/// A balancer's share of the requests that servers may receive during their warm-up. A flow is placed on such a server
/// only with a grant of the control host that the server announces itself to.
class warm_up_budget {
public:
    explicit warm_up_budget(warm_up_times const& times);

    /// Replaces the limits by those of the services. Services without a limit have none.
    void setLimits(std::vector<routed_service> const& services);
    /// @return Whether servers of the service have a limit during their warm-up.
    bool isLimited(std::string const& service) const { return m_limited.contains(service); }
    bool hasLimits() const { return !m_limited.empty(); }

    /// @return Whether a flow to this server, which is warming up, may be opened.
    bool mayOpen(uint32_t token, std::string const& service, route_importance importance, monotonic_time now) const;
    /// Uses up the grant for one opening packet that is about to be forwarded.
    void recordOpening(uint32_t token, std::string const& service, monotonic_time now);

    /// Records that a new flow to the service arrived, whatever became of it.
    void recordDemand(std::string const& service);
    /// Records that a flow was rejected because no server that is warming up had budget left. For a while the routes of
    /// least importance then leave the budget to the others.
    void recordRejection(std::string const& service, route_importance importance, monotonic_time now);

    /// What flows to the service may cause.
    flow_demand& demandOf(std::string const& service) { return m_flowDemands[service]; }

    /// @return Whether a request is due.
    bool isRequestDue(monotonic_time now) const { return now >= nextRequestAt(); }
    monotonic_time nextRequestAt() const
    {
        return m_requestedAt + (m_hasUnmetDemand ? m_times.minimumRequestInterval : m_times.requestInterval);
    }
    /// Divides the demand since the last call over the servers, and reports the flows that are open on them.
    /// @param servers All servers of limited services that are warming up.
    /// @return What to request of the control hosts of these servers.
    std::vector<warm_up_demand> makeDemands(std::vector<warming_server> const& servers, monotonic_time now);
    /// @return A request with a new number.
    warm_up_request makeRequest(std::vector<warm_up_demand> demands, monotonic_time now);
    /// Applies the response to a request.
    /// @return When the request was sent; nullopt if it is unknown or was sent too long ago.
    std::optional<monotonic_time> receive(warm_up_grants const& grants, monotonic_time now);

    /// @return Requests that were granted, since the start.
    uint64_t grantedCount() const { return m_grantedCount; }
    /// @return Opening packets that used up a grant, since the start.
    uint64_t usedCount() const { return m_usedCount; }
    /// Rejected flows by service since the last call.
    std::map<std::string, uint64_t> drainRejections() { return std::exchange(m_rejections, {}); }

private:
    struct grant {
        uint32_t requests = 0;
        monotonic_time endsAt;
    };
    /// @return Requests that the opening of a flow to the service has to pay for.
    uint32_t requestsPerFlow(std::string const& service) const;

    warm_up_times m_times;
    std::set<std::string> m_limited;
    std::unordered_map<uint32_t, std::vector<grant>> m_grants;
    /// When a server was last granted anything, or reported with open flows. The control host needs further reports of
    /// the flows until they have ended.
    std::unordered_map<uint32_t, monotonic_time> m_involvedAt;
    std::map<uint64_t, monotonic_time> m_pending;
    uint64_t m_number = 0;
    monotonic_time m_requestedAt;
    /// New flows since the last request, by service.
    std::map<std::string, uint32_t> m_demand;
    /// The same before the last request.
    std::map<std::string, uint32_t> m_earlierDemand;
    /// Whether a flow was rejected since the last request.
    bool m_hasUnmetDemand = false;
    /// Where the next request starts to divide the demand, by service.
    std::map<std::string, size_t> m_rotation;
    std::map<std::string, monotonic_time> m_rejectedImportantAt;
    std::map<std::string, flow_demand> m_flowDemands;
    std::map<std::string, uint64_t> m_rejections;
    uint64_t m_grantedCount = 0;
    uint64_t m_usedCount = 0;
};

} // namespace bilberryyard
