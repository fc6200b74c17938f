#include "segment_codec.h"

#include <Packet/packet_builder.h>
#include <Packet/parsed_packet.h>

namespace bilberryyard {

namespace {

    // Larger than any packet that the emulated endpoints build (1200 bytes of payload plus headers).
    constexpr size_t maximumPacketSize = 2048;
    constexpr size_t packetsPerFlush = 256;

} // namespace

std::optional<received_segment> readSegment(std::span<uint8_t const> packet)
{
    auto const result = parsePacket(packet);
    auto const* parsed = std::get_if<parsed_packet>(&result);
    if (!parsed || parsed->key.protocol != ip_protocol::Tcp || parsed->kind == packet_kind::IcmpError)
        return std::nullopt;
    auto const payload = packet.last(parsed->payloadLength);
    return received_segment { parsed->key,
        { parsed->tcpSequence, parsed->tcpAcknowledgement, parsed->tcpFlags,
            std::string(payload.begin(), payload.end()) } };
}

flow_key reversed(flow_key const& key)
{
    return { key.destination, key.source, key.destinationPort, key.sourcePort, key.protocol };
}

segment_sender::segment_sender(udp_packet_io& io, ip_endpoint const& destination)
    : m_io(io)
    , m_destination(destination)
    , m_bytes(packetsPerFlush * maximumPacketSize)
{
}

void segment_sender::add(flow_key const& key, tcp_segment const& segment)
{
    auto const builder = packet_builder::create(key);
    if (!builder.ok())
        return;
    auto const output = std::span(m_bytes).subspan(m_used, maximumPacketSize);
    auto const size = builder->writeTcp({ segment.flags, segment.sequence, segment.acknowledgement },
        { reinterpret_cast<uint8_t const*>(segment.payload.data()), segment.payload.size() }, output);
    if (!size)
        return;
    m_packets.push_back({ m_used, *size });
    m_used += *size;
    if (m_packets.size() == packetsPerFlush)
        flush();
}

void segment_sender::flush()
{
    std::vector<outgoing_packet> packets;
    packets.reserve(m_packets.size());
    for (auto const& packet : m_packets)
        packets.push_back({ std::span(m_bytes).subspan(packet.offset, packet.size), m_destination });
    m_io.send(packets);
    m_packets.clear();
    m_used = 0;
}

} // namespace bilberryyard
