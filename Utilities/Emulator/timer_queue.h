#pragma once

#include <Base/monotonic_time.h>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bilberryyard {

/// Timers of numbered connections: at most one pending timer a connection.
class timer_queue {
public:
    /// Makes sure that a timer runs out at the deadline or earlier.
    /// @param number The connection.
    /// @param deadline The time; monotonic_time::max() for no timer.
    void schedule(uint64_t number, monotonic_time deadline)
    {
        if (deadline == monotonic_time::max())
            return;
        auto const [entry, inserted] = m_pending.emplace(number, deadline);
        if (!inserted && entry->second <= deadline)
            return;
        entry->second = deadline;
        m_queue.emplace(deadline, number);
    }

    /// Takes a timer that has run out.
    /// @param now The time.
    /// @return The connection, or nothing when no timer has run out.
    std::optional<uint64_t> takeDue(monotonic_time now)
    {
        while (!m_queue.empty() && m_queue.top().first <= now) {
            auto const [deadline, number] = m_queue.top();
            m_queue.pop();
            auto const entry = m_pending.find(number);
            if (entry == m_pending.end() || entry->second != deadline)
                continue;
            m_pending.erase(entry);
            return number;
        }
        return std::nullopt;
    }

private:
    using timer = std::pair<monotonic_time, uint64_t>;

    std::priority_queue<timer, std::vector<timer>, std::greater<>> m_queue;
    std::unordered_map<uint64_t, monotonic_time> m_pending;
};

} // namespace bilberryyard
