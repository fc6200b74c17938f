#pragma once

#include <Base/monotonic_time.h>
#include <algorithm>
#include <cstdint>

namespace bilberryyard {

/// Limits reassignments of flows to a tenth of the new flows, but at least 10, in each second.
class retry_budget {
public:
    void countNewFlow(monotonic_time now)
    {
        advance(now);
        ++m_newFlows;
    }

    /// Consumes one reassignment of the budget.
    /// @return Whether the budget of this second was not used up yet.
    bool tryAcquire(monotonic_time now)
    {
        advance(now);
        auto const allowed = std::max(minimumRetries, std::max(m_newFlows, m_previousNewFlows) / 10);
        if (m_retries >= allowed)
            return false;
        ++m_retries;
        return true;
    }

private:
    static constexpr uint32_t minimumRetries = 10;

    void advance(monotonic_time now)
    {
        auto const second = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
        if (second == m_second)
            return;
        m_previousNewFlows = second == m_second + 1 ? m_newFlows : 0;
        m_newFlows = 0;
        m_retries = 0;
        m_second = second;
    }

    int64_t m_second = -1;
    uint32_t m_newFlows = 0;
    uint32_t m_previousNewFlows = 0;
    uint32_t m_retries = 0;
};

} // namespace bilberryyard
