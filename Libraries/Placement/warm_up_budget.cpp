#include <Placement/warm_up_budget.h>

#include <algorithm>

namespace bilberryyard {

namespace {

    // About as long as a rejected caller retries.
    constexpr duration reservationPeriod = std::chrono::milliseconds(1'000);
    // A server stays in the requests for this long after its last grant or open flow, until the control host knows that
    // no flow is open any more.
    constexpr duration reportPeriod = std::chrono::seconds(5);

} // namespace

warm_up_budget::warm_up_budget(warm_up_times const& times)
    : m_times(times)
{
}

void warm_up_budget::setLimits(std::vector<routed_service> const& services)
{
    m_limited.clear();
    for (auto const& service : services) {
        if (service.coldRequestsPerSecond > 0)
            m_limited.insert(service.name);
    }
}

uint32_t warm_up_budget::requestsPerFlow(std::string const& service) const
{
    auto const demand = m_flowDemands.find(service);
    return std::max<uint32_t>(demand == m_flowDemands.end() ? 1 : demand->second.laterRequestsPerSecond(), 1);
}

bool warm_up_budget::mayOpen(
    uint32_t token, std::string const& service, route_importance importance, monotonic_time now) const
{
    auto const rejected = m_rejectedImportantAt.find(service);
    if (importance == route_importance::Least && rejected != m_rejectedImportantAt.end()
        && now - rejected->second < reservationPeriod)
        return false;
    auto const grants = m_grants.find(token);
    if (grants == m_grants.end())
        return false;
    uint32_t available = 0;
    for (auto const& item : grants->second)
        available += now < item.endsAt ? item.requests : 0;
    return available >= requestsPerFlow(service);
}

void warm_up_budget::recordOpening(uint32_t token, std::string const& service, monotonic_time now)
{
    auto remaining = requestsPerFlow(service);
    ++m_usedCount;
    for (auto& item : m_grants[token]) {
        if (now >= item.endsAt)
            continue;
        auto const used = std::min(item.requests, remaining);
        item.requests -= used;
        remaining -= used;
    }
}

void warm_up_budget::recordDemand(std::string const& service) { ++m_demand[service]; }

void warm_up_budget::recordRejection(std::string const& service, route_importance importance, monotonic_time now)
{
    ++m_rejections[service];
    m_hasUnmetDemand = true;
    if (importance == route_importance::Higher)
        m_rejectedImportantAt[service] = now;
}

std::vector<warm_up_demand> warm_up_budget::makeDemands(std::vector<warming_server> const& servers, monotonic_time now)
{
    std::map<std::string, std::vector<warming_server const*>> services;
    for (auto const& server : servers)
        services[server.service].push_back(&server);
    std::vector<warm_up_demand> result;
    for (auto& [service, members] : services) {
        std::sort(members.begin(), members.end(),
            [](auto const* left, auto const* right) { return left->token < right->token; });
        auto const latest = m_demand[service];
        auto const flows = std::max(latest, m_earlierDemand[service] / 2);
        m_earlierDemand[service] = flows;
        auto const perFlow = requestsPerFlow(service);
        auto const later
            = m_flowDemands.contains(service) ? m_flowDemands.at(service).laterRequestsPerSecond() : uint32_t { 1 };
        auto const count = static_cast<uint32_t>(members.size());
        auto& start = m_rotation[service];
        for (size_t index = 0; index < members.size(); ++index) {
            auto const& server = *members[(start + index) % members.size()];
            // The first servers of the rotation get what does not divide evenly.
            auto const share = flows / count + (index < flows % count ? 1 : 0);
            warm_up_demand const demand { server.token, share * perFlow, server.openFlows * later };
            if (demand.openFlowRequests > 0)
                m_involvedAt[server.token] = now;
            auto const involved = m_involvedAt.find(server.token);
            bool const isInvolved = involved != m_involvedAt.end() && now - involved->second < reportPeriod;
            if (demand.wanted > 0 || isInvolved)
                result.push_back(demand);
        }
        start = (start + flows % count) % members.size();
    }
    m_demand.clear();
    m_hasUnmetDemand = false;
    m_requestedAt = now;
    std::erase_if(m_involvedAt, [&](auto const& item) { return now - item.second >= reportPeriod; });
    std::erase_if(m_pending, [&](auto const& item) { return now - item.second >= m_times.grantSpan; });
    for (auto& [token, grants] : m_grants)
        std::erase_if(grants, [&](grant const& item) { return now >= item.endsAt || item.requests == 0; });
    std::erase_if(m_grants, [](auto const& item) { return item.second.empty(); });
    return result;
}

warm_up_request warm_up_budget::makeRequest(std::vector<warm_up_demand> demands, monotonic_time now)
{
    m_pending[++m_number] = now;
    return { m_number, std::move(demands) };
}

std::optional<monotonic_time> warm_up_budget::receive(warm_up_grants const& grants, monotonic_time now)
{
    auto const pending = m_pending.find(grants.number);
    if (pending == m_pending.end())
        return std::nullopt;
    auto const sentAt = pending->second;
    // A repeated response must not grant anything twice.
    m_pending.erase(pending);
    // The control host counts the span from a later time, so the grant ends here first, without a common clock.
    auto const endsAt = sentAt + m_times.grantSpan;
    if (now >= endsAt)
        return std::nullopt;
    for (auto const& item : grants.servers) {
        if (item.requests == 0)
            continue;
        m_grants[item.token].push_back({ item.requests, endsAt });
        m_involvedAt[item.token] = now;
        m_grantedCount += item.requests;
    }
    return sentAt;
}

} // namespace bilberryyard
