#pragma once

#include <Base/monotonic_time.h>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace bilberryyard {

/// Event queue and simulated clock of a replay. Events at the same time run in the order in which they were added.
class replay_queue {
public:
    /// Simulated time at the start of a replay. Not zero, because the decision code subtracts durations from times.
    static constexpr monotonic_time start { std::chrono::hours { 1 } };

    monotonic_time now() const { return m_now; }

    /// Schedules an event.
    /// @param at Time of the event; a time before now() is replaced by now().
    void add(monotonic_time at, std::function<void()> run)
    {
        m_events.push({ std::max(at, m_now), ++m_sequence, std::move(run) });
    }

    /// Runs the events up to and including a time, to which the clock is then set.
    void runUntil(monotonic_time end)
    {
        while (!m_events.empty() && m_events.top().at <= end) {
            // top() only gives const access. Moving from it is safe because the element is removed before the event
            // runs.
            auto run = std::move(const_cast<event&>(m_events.top()).run);
            m_now = m_events.top().at;
            m_events.pop();
            run();
        }
        m_now = end;
    }

private:
    struct event {
        monotonic_time at;
        uint64_t sequence = 0;
        std::function<void()> run;
        bool operator<(event const& other) const { return at != other.at ? at > other.at : sequence > other.sequence; }
    };

    monotonic_time m_now = start;
    uint64_t m_sequence = 0;
    std::priority_queue<event> m_events;
};

} // namespace bilberryyard
