#include <Routing/flow_segment.h>

#include <algorithm>
#include <utility>

namespace bilberryyard {

namespace {

    constexpr size_t smallestSegment = 8;

} // namespace

flow_entry& flow_segment::insert(flow_entry const& entry)
{
    // Probe sequences become long above a load factor of 0.85; growing by a quarter keeps it at 0.68 or more.
    if ((m_size + 1ULL) * 100 > m_homes * 85ULL)
        rebuild(std::max(smallestSegment, m_homes + m_homes / 4 + size_t { 1 }));
    while (!place(entry))
        rebuild(m_homes + m_homes / 4 + 1);
    return m_slots[slotFor(entry.id())];
}

bool flow_segment::place(flow_entry const& entry)
{
    auto const slot = slotFor(entry.id());
    auto end = slot;
    while (end < m_slots.size() && m_slots[end].state != flow_state::Free)
        ++end;
    if (end >= m_slots.size())
        return false;
    std::move_backward(m_slots.begin() + static_cast<ptrdiff_t>(slot), m_slots.begin() + static_cast<ptrdiff_t>(end),
        m_slots.begin() + static_cast<ptrdiff_t>(end) + 1);
    m_slots[slot] = entry;
    ++m_size;
    return true;
}

void flow_segment::eraseSlot(size_t slot)
{
    auto next = slot + 1;
    while (next < m_slots.size() && m_slots[next].state != flow_state::Free && homeOf(m_slots[next].hash) < next) {
        m_slots[next - 1] = m_slots[next];
        ++next;
    }
    m_slots[next - 1] = {};
    --m_size;
}

void flow_segment::shrink()
{
    if (m_homes > smallestSegment && m_size * 4ULL < m_homes)
        rebuild(std::max<size_t>(smallestSegment, m_size * 2ULL));
}

void flow_segment::rebuild(size_t homes)
{
    auto const old = std::exchange(m_slots, std::vector<flow_entry>(homes + overflowSlots));
    m_homes = static_cast<uint32_t>(homes);
    m_size = 0;
    for (auto const& entry : old) {
        if (entry.state == flow_state::Free || place(entry))
            continue;
        // The overflow slots are full; retry with a larger table.
        m_slots = old;
        return rebuild(homes + homes / 4 + 1);
    }
}

} // namespace bilberryyard
