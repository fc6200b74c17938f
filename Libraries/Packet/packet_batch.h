#pragma once

#include <Packet/ip_endpoint.h>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace bilberryyard {

/// Free bytes in front of each received packet: room for a relay header and a GUE header, rounded to a cache line.
inline constexpr size_t packetHeadroom = 64;

/// Reusable buffers for a batch of received packets. All memory is allocated by the constructor. The bytes of a
/// packet stay valid until the next receive into the same batch, so an action can put a header in front of a
/// packet where it lies and send it from there.
class packet_batch {
public:
    /// @param slotCount Largest number of packets in the batch, at least 1.
    /// @param packetCapacity Largest packet in bytes; a longer one is cut.
    packet_batch(size_t slotCount, size_t packetCapacity);

    size_t slotCount() const { return m_slots.size(); }
    size_t packetCapacity() const { return m_packetCapacity; }

    /// @return Number of packets in the batch now.
    size_t size() const { return m_size; }

    /// @param index A packet, below size().
    /// @return Its bytes.
    std::span<uint8_t> packet(size_t index) { return buffer(index).subspan(packetHeadroom); }

    /// @param index A packet, below size().
    /// @return packetHeadroom free bytes followed by the packet, as encapsulateGue() and prependRelayHeader()
    /// take it.
    std::span<uint8_t> buffer(size_t index)
    {
        return { m_memory.data() + index * m_stride, packetHeadroom + m_slots[index].length };
    }

    /// @param index A packet, below size().
    /// @return Who sent it.
    ip_endpoint const& sender(size_t index) const { return m_slots[index].sender; }

    /// For packet_io implementations.
    /// @param index A slot, below slotCount().
    /// @return Where to put a received packet: packetCapacity() bytes.
    std::span<uint8_t> receiveSpace(size_t index)
    {
        return { m_memory.data() + index * m_stride + packetHeadroom, m_packetCapacity };
    }

    /// For packet_io implementations: empties the batch.
    void clear() { m_size = 0; }

    /// For packet_io implementations: adds the packet that was received into slot size().
    /// @param length Its size in bytes, at most packetCapacity().
    /// @param sender Who sent it.
    void append(size_t length, ip_endpoint const& sender) { m_slots[m_size++] = { length, sender }; }

private:
    struct slot {
        size_t length = 0;
        ip_endpoint sender;
    };

    size_t m_packetCapacity;
    size_t m_stride;
    size_t m_size = 0;
    std::vector<uint8_t> m_memory;
    std::vector<slot> m_slots;
};

} // namespace bilberryyard
