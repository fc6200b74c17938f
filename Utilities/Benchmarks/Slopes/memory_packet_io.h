#pragma once

#include <Packet/packet_io.h>
#include <algorithm>
#include <vector>

namespace bilberryyard {

/// Packet I/O without sockets: receives prepared packets and counts sent packets.
class memory_packet_io {
public:
    /// @param packets Packets to receive, in this order, once.
    explicit memory_packet_io(std::vector<std::vector<uint8_t>> packets)
        : m_packets(std::move(packets))
    {
    }

    /// Receives all packets once more, from the first one.
    void rewind() { m_next = 0; }

    size_t receive(packet_batch& batch)
    {
        batch.clear();
        for (; m_next < m_packets.size() && batch.size() < batch.slotCount(); ++m_next) {
            auto const& packet = m_packets[m_next];
            std::copy(packet.begin(), packet.end(), batch.receiveBuffer(batch.size()).begin());
            batch.append(packet.size(), {});
        }
        return batch.size();
    }

    size_t send(std::span<outgoing_packet const> packets)
    {
        m_counters.sentPackets += packets.size();
        return packets.size();
    }

    bool waitReadable(std::chrono::milliseconds) const { return m_next < m_packets.size(); }
    packet_io_counters counters() const { return m_counters; }

private:
    std::vector<std::vector<uint8_t>> m_packets;
    size_t m_next = 0;
    packet_io_counters m_counters;
};

static_assert(packet_io<memory_packet_io>);

} // namespace bilberryyard
