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

    /// Adds counts.
    /// @param evidence The counts.
    /// @param now When they arrived.
    void add(handshake_statistics const& evidence, monotonic_time now);

    /// Counts the handshakes that had time to make progress. Progress counts until now, so a slow
    /// handshake is not taken for a failed one. Each host that sees a flow progress counts it, so progress
    /// alone would hide that part of the handshakes fails; callers that get no answer repeat the SYN after
    /// 1 s and 3 s, so half of the repeated SYNs is a second estimate, and the larger one counts.
    /// @param settings Window and handshake time.
    /// @param now The time.
    /// @return The totals.
    totals total(health_settings const& settings, monotonic_time now) const;

    /// Drops what no later total() needs.
    /// @param settings Window and handshake time.
    /// @param now The time.
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
