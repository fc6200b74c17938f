#include <Routing/byte_budget.h>

namespace bilberryyard {

byte_budget::byte_budget(uint32_t bytesPerSecond)
    : m_capacity(uint64_t { bytesPerSecond } * std::chrono::duration_cast<std::chrono::seconds>(window).count())
{
}

uint64_t byte_budget::available(monotonic_time now) const
{
    uint64_t used = 0;
    for (auto const& [time, bytes] : m_sent) {
        if (now - time < window)
            used += bytes;
    }
    return used < m_capacity ? m_capacity - used : 0;
}

void byte_budget::charge(uint64_t bytes, monotonic_time now)
{
    while (!m_sent.empty() && now - m_sent.front().first >= window)
        m_sent.pop_front();
    m_sent.emplace_back(now, bytes);
}

} // namespace bilberryyard
