#pragma once

#include "tcp_segment.h"
#include <Packet/flow_key.h>
#include <Packet/packet_batch.h>
#include <Packet/udp_packet_io.h>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace bilberryyard {

/// A TCP segment with its flow, in the direction that the packet travels.
struct received_segment {
    flow_key key;
    tcp_segment segment;
    auto operator<=>(received_segment const&) const = default;
};

/// @param packet An IP packet.
/// @return Its TCP segment; nothing for any other packet.
std::optional<received_segment> readSegment(std::span<uint8_t const> packet);

/// @param key A flow.
/// @return The flow of packets in the other direction.
flow_key reversed(flow_key const& key);

/// Collects packets and sends them in batches.
class segment_sender {
public:
    /// @param io Socket to send from.
    /// @param destination Where all packets go.
    segment_sender(udp_packet_io& io, ip_endpoint const& destination);

    /// Queues a segment.
    /// @param key Flow in the direction of the packet.
    /// @param segment The segment.
    void add(flow_key const& key, tcp_segment const& segment);

    /// Sends everything that was queued.
    void flush();

private:
    struct queued_packet {
        size_t offset;
        size_t size;
    };

    udp_packet_io& m_io;
    ip_endpoint m_destination;
    std::vector<uint8_t> m_bytes;
    std::vector<queued_packet> m_packets;
    size_t m_used = 0;
};

} // namespace bilberryyard
