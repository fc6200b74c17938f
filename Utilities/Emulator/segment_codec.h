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
/// @return Its TCP segment, or nothing if it is not a valid TCP packet.
std::optional<received_segment> readSegment(std::span<uint8_t const> packet);

/// @return The key of the flow in the opposite direction.
flow_key reversed(flow_key const& key);

/// Collects segments and sends them as packets in batches.
class segment_sender {
public:
    /// @param io Socket to send from; must outlive the sender.
    /// @param destination Destination of all packets.
    segment_sender(udp_packet_io& io, ip_endpoint const& destination);

    /// Queues a segment. A full batch is sent at once.
    /// @param key Flow in the direction of the packet.
    void add(flow_key const& key, tcp_segment const& segment);

    /// Sends all queued segments.
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
