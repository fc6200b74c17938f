#include <Packet/packet_batch.h>

#include <algorithm>

namespace bilberryyard {

namespace {

    // The distance between slots is a multiple of the cache line size, so that two packets never share a cache line.
    constexpr size_t cacheLineSize = 64;

    size_t roundUp(size_t size) { return (size + cacheLineSize - 1) / cacheLineSize * cacheLineSize; }

} // namespace

packet_batch::packet_batch(size_t slotCount, size_t packetCapacity)
    : m_packetCapacity(packetCapacity)
    , m_stride(packetHeadroom + roundUp(packetCapacity))
    , m_memory(m_stride * std::max<size_t>(slotCount, 1))
    , m_slots(std::max<size_t>(slotCount, 1))
{
}

} // namespace bilberryyard
