#pragma once

#include <Base/monotonic_time.h>
#include <cstdint>

namespace bilberryyard {

/// Rate limiter for the log lines that a process writes about requests.
class line_budget {
public:
    explicit line_budget(uint32_t linesPerSecond)
        : m_linesPerSecond(linesPerSecond)
    {
    }

    /// @return Whether a line may be written now; counts it if so, otherwise counts it as suppressed.
    bool tryAcquire(monotonic_time now)
    {
        if (now - m_windowStart >= std::chrono::seconds(1)) {
            m_windowStart = now;
            m_acquiredCount = 0;
        }
        if (m_acquiredCount < m_linesPerSecond) {
            ++m_acquiredCount;
            return true;
        }
        ++m_suppressedCount;
        return false;
    }

    /// @return Number of lines that were suppressed since the last call.
    uint64_t drainSuppressedCount()
    {
        auto const count = m_suppressedCount;
        m_suppressedCount = 0;
        return count;
    }

private:
    uint32_t m_linesPerSecond;
    uint32_t m_acquiredCount = 0;
    uint64_t m_suppressedCount = 0;
    monotonic_time m_windowStart;
};

} // namespace bilberryyard
