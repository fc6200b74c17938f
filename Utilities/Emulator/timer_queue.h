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

/// Timers of connections: at most one pending timer per connection.
class timer_queue {
public:
    /// Sets the timer of a connection, unless it already expires at or before the deadline.
    /// @param deadline When the timer expires; monotonic_time::max() leaves the timer as it is.
    void schedule(uint64_t connectionId, monotonic_time deadline)
    {
        if (deadline == monotonic_time::max())
            return;
        auto const [entry, inserted] = m_pending.emplace(connectionId, deadline);
        if (!inserted && entry->second <= deadline)
            return;
        entry->second = deadline;
        m_queue.emplace(deadline, connectionId);
    }

    /// Removes a timer that has expired.
    /// @return Its connection, or nothing if no timer has expired.
    std::optional<uint64_t> pollDue(monotonic_time now)
    {
        while (!m_queue.empty() && m_queue.top().first <= now) {
            auto const [deadline, connectionId] = m_queue.top();
            m_queue.pop();
            auto const entry = m_pending.find(connectionId);
            if (entry == m_pending.end() || entry->second != deadline)
                continue;
            m_pending.erase(entry);
            return connectionId;
        }
        return std::nullopt;
    }

private:
    using timer = std::pair<monotonic_time, uint64_t>;

    std::priority_queue<timer, std::vector<timer>, std::greater<>> m_queue;
    std::unordered_map<uint64_t, monotonic_time> m_pending;
};

} // namespace bilberryyard
