#include <Packet/packet_batch.h>

#include <algorithm>

namespace bilberryyard {

namespace {

    // Slots start on cache lines relative to each other, so that two packets never share one.
    constexpr size_t cacheLine = 64;

    size_t roundUp(size_t size) { return (size + cacheLine - 1) / cacheLine * cacheLine; }

} // namespace

packet_batch::packet_batch(size_t slotCount, size_t packetCapacity)
    : m_packetCapacity(packetCapacity)
    , m_stride(packetHeadroom + roundUp(packetCapacity))
    , m_memory(m_stride * std::max<size_t>(slotCount, 1))
    , m_slots(std::max<size_t>(slotCount, 1))
{
}

} // namespace bilberryyard
