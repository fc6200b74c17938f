#pragma once

#include <Base/monotonic_time.h>
#include <compare>
#include <cstdint>

namespace bilberryyard {

/// Requests that the caller of one flow has sent.
struct flow_requests {
    uint32_t total = 0;
    /// Since `secondBeganAt`, at most one second.
    uint32_t inSecond = 0;
    monotonic_time secondBeganAt;
    auto operator<=>(flow_requests const&) const = default;

    /// @return The requests including one that is sent now.
    flow_requests withRequest(monotonic_time now) const;
};

/// What a flow of one service may cause, learnt from the flows that this balancer has observed.
class flow_demand {
public:
    /// Records a request, already included in `requests`.
    void recordRequest(flow_requests const& requests);
    /// Records that a flow has ended.
    void recordEnd(flow_requests const& requests);

    /// @return Requests that a flow may send in one second while it is open; 0 if flows send a single request. Before
    ///     enough flows have been observed, they are assumed to send more.
    uint32_t laterRequestsPerSecond() const;

private:
    uint32_t m_singleRequestFlows = 0;
    uint32_t m_maximumPerSecond = 1;
    bool m_hasLaterRequests = false;
};

} // namespace bilberryyard
