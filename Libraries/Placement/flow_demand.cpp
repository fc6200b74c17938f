#include <Placement/flow_demand.h>

#include <algorithm>

namespace bilberryyard {

namespace {

    // Flows with a single request, without any other, after which a service is taken to have no others.
    constexpr uint32_t requiredSingleRequestFlows = 16;

} // namespace

flow_requests flow_requests::withRequest(monotonic_time now) const
{
    bool const isSameSecond = inSecond > 0 && now - secondBeganAt < std::chrono::seconds(1);
    return { total + 1, isSameSecond ? inSecond + 1 : 1, isSameSecond ? secondBeganAt : now };
}

void flow_demand::recordRequest(flow_requests const& requests)
{
    m_hasLaterRequests = m_hasLaterRequests || requests.total > 1;
    m_maximumPerSecond = std::max(m_maximumPerSecond, requests.inSecond);
}

void flow_demand::recordEnd(flow_requests const& requests)
{
    if (requests.total == 1)
        m_singleRequestFlows = std::min(m_singleRequestFlows + 1, requiredSingleRequestFlows);
}

uint32_t flow_demand::laterRequestsPerSecond() const
{
    return m_hasLaterRequests || m_singleRequestFlows < requiredSingleRequestFlows ? m_maximumPerSecond : 0;
}

} // namespace bilberryyard
