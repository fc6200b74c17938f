#pragma once

#include <Membership/health_types.h>
#include <cstdint>
#include <deque>

namespace bilberryyard {

/// Handshakes of one server in a sliding window.
class handshake_window {
public:
    struct totals {
        uint64_t started = 0;
        uint64_t failed = 0;
        auto operator<=>(totals const&) const = default;
    };

    /// @param now When the counts arrived.
    void add(handshake_statistics const& statistics, monotonic_time now);

    /// Counts the handshakes that are older than the handshake timeout. The range in which progress is counted ends a
    /// third of the timeout later, so that a slow handshake does not count as failed.
    ///
    /// Every host that sees a flow make progress counts it, so the progress count alone can hide that some handshakes
    /// fail. Callers without a response repeat the SYN after 1 s and 3 s, so half of the repeated SYNs is a second
    /// estimate of the failures; the larger of the two is returned.
    totals total(health_settings const& settings, monotonic_time now) const;

    /// Removes counts that are too old for any later total().
    void trim(health_settings const& settings, monotonic_time now);

    void clear() { m_counts.clear(); }

private:
    struct entry {
        monotonic_time time;
        uint64_t started = 0;
        uint64_t retransmitted = 0;
        uint64_t progressed = 0;
    };
    std::deque<entry> m_counts;
};

} // namespace bilberryyard
