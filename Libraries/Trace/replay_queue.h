#pragma once

#include <Base/monotonic_time.h>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace bilberryyard {

/// Events of a replay in order of time; events of the same time run in the order in which they were added.
class replay_queue {
public:
    /// Start of a replay on the clocks of its hosts. Not zero, because durations are subtracted from times.
    static constexpr monotonic_time start { std::chrono::hours { 1 } };

    monotonic_time now() const { return m_now; }

    /// @param at When to run; not before now().
    /// @param run What to run.
    void add(monotonic_time at, std::function<void()> run)
    {
        m_events.push({ std::max(at, m_now), ++m_sequence, std::move(run) });
    }

    /// Runs the events up to a time.
    /// @param end The time; the clock stands there afterwards.
    void runUntil(monotonic_time end)
    {
        while (!m_events.empty() && m_events.top().at <= end) {
            // The queue only gives const access to its top, which is removed at once.
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
