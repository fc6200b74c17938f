#pragma once

#include <Base/monotonic_time.h>
#include <cstdint>

namespace bilberryyard {

/// Bounds how many log lines a process writes for requests, whatever the load.
class line_budget {
public:
    /// @param linesPerSecond Lines of one second.
    explicit line_budget(uint32_t linesPerSecond)
        : m_linesPerSecond(linesPerSecond)
    {
    }

    /// @param now The time.
    /// @return Whether a line may be written.
    bool tryAcquire(monotonic_time now)
    {
        if (now - m_secondStart >= std::chrono::seconds(1)) {
            m_secondStart = now;
            m_used = 0;
        }
        if (m_used < m_linesPerSecond) {
            ++m_used;
            return true;
        }
        ++m_suppressed;
        return false;
    }

    /// @return Lines that were refused since the last call.
    uint64_t drainSuppressedCount()
    {
        auto const count = m_suppressed;
        m_suppressed = 0;
        return count;
    }

private:
    uint32_t m_linesPerSecond;
    uint32_t m_used = 0;
    uint64_t m_suppressed = 0;
    monotonic_time m_secondStart;
};

} // namespace bilberryyard
