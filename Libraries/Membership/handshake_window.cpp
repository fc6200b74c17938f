#include <Membership/handshake_window.h>

#include <algorithm>

namespace bilberryyard {

void handshake_window::add(handshake_statistics const& statistics, monotonic_time now)
{
    m_counts.push_back({ now, statistics.started, statistics.retransmitted, statistics.progressed });
}

handshake_window::totals handshake_window::total(health_settings const& settings, monotonic_time now) const
{
    totals result;
    uint64_t progressed = 0;
    uint64_t retransmitted = 0;
    // The three ranges have the same length, so that steady traffic yields the true ratio. They are shifted because
    // progress follows its SYN within a round trip, and repeated SYNs follow after 1 s and 3 s.
    auto const progressDelay = settings.handshakeTimeout / 3;
    auto const isWithin = [&](duration age, duration delay) { return age >= delay && age < delay + settings.window; };
    for (auto const& count : m_counts) {
        auto const age = now - count.time;
        result.started += isWithin(age, settings.handshakeTimeout) ? count.started : 0;
        progressed += isWithin(age, settings.handshakeTimeout - progressDelay) ? count.progressed : 0;
        retransmitted += isWithin(age, duration::zero()) ? count.retransmitted : 0;
    }
    auto const withoutProgress = result.started - std::min(result.started, progressed);
    result.failed = std::max(withoutProgress, std::min(result.started, retransmitted / 2));
    return result;
}

void handshake_window::trim(health_settings const& settings, monotonic_time now)
{
    while (!m_counts.empty() && now - m_counts.front().time > settings.window + settings.handshakeTimeout)
        m_counts.pop_front();
}

} // namespace bilberryyard
