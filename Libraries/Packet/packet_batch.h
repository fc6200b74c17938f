#pragma once

#include <Packet/ip_endpoint.h>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace bilberryyard {

/// Free bytes in front of each received packet, for a relay header and a GUE header; rounded up to a cache line.
inline constexpr size_t packetHeadroom = 64;

/// Reusable buffers for a batch of received packets. All memory is allocated by the constructor. The bytes of a
/// packet stay valid until the next receive into the same batch, so a header can be written in front of a packet in
/// place and the result can be sent without a copy.
class packet_batch {
public:
    /// @param slotCount Largest number of packets in the batch, at least 1.
    /// @param packetCapacity Largest packet in bytes; longer ones are truncated.
    packet_batch(size_t slotCount, size_t packetCapacity);

    size_t slotCount() const { return m_slots.size(); }
    size_t packetCapacity() const { return m_packetCapacity; }

    /// @return Number of packets in the batch.
    size_t size() const { return m_size; }

    /// @param index Index of a packet, below size().
    std::span<uint8_t> packet(size_t index) { return buffer(index).subspan(packetHeadroom); }

    /// @param index Index of a packet, below size().
    /// @return packetHeadroom free bytes followed by the packet, for encapsulateGue() and prependRelayHeader().
    std::span<uint8_t> buffer(size_t index)
    {
        return { m_memory.data() + index * m_stride, packetHeadroom + m_slots[index].length };
    }

    /// @param index Index of a packet, below size().
    ip_endpoint const& sender(size_t index) const { return m_slots[index].sender; }

    /// For packet_io implementations.
    /// @param index Index of a slot, below slotCount().
    /// @return The buffer for a received packet, of packetCapacity() bytes.
    std::span<uint8_t> receiveBuffer(size_t index)
    {
        return { m_memory.data() + index * m_stride + packetHeadroom, m_packetCapacity };
    }

    /// For packet_io implementations: empties the batch.
    void clear() { m_size = 0; }

    /// For packet_io implementations: adds the packet that was received into slot size().
    /// @param length Size of the packet in bytes, at most packetCapacity().
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
