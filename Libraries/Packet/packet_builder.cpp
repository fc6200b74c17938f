#include <Packet/packet_builder.h>

#include <Base/error_kind.h>
#include <Packet/byte_order.h>
#include <Packet/checksum.h>
#include <Packet/ip_header.h>
#include <algorithm>

namespace bilberryyard {

namespace {

    constexpr size_t maximumPacketSize = 65535;

} // namespace

absl::StatusOr<packet_builder> packet_builder::create(flow_key const& key, uint8_t hopLimit)
{
    if (key.source.isIpv4() != key.destination.isIpv4())
        return makeError(error_kind::InvalidArgument,
            "source and destination are of different address families in flow " + key.toText());
    return packet_builder(key, hopLimit);
}

std::optional<std::span<uint8_t>> packet_builder::writeHeader(
    ip_protocol protocol, size_t segmentSize, std::span<uint8_t> output) const noexcept
{
    size_t const size = ipHeaderSizeFor(m_key.source) + segmentSize;
    if (size > std::min(output.size(), maximumPacketSize))
        return std::nullopt;
    size_t const offset = writeIpHeader(
        { m_key.source, m_key.destination, static_cast<uint8_t>(protocol), m_hopLimit }, segmentSize, output);
    auto const segment = output.first(size).subspan(offset);
    storeBigEndian16(segment, 0, m_key.sourcePort);
    storeBigEndian16(segment, 2, m_key.destinationPort);
    return segment;
}

std::optional<size_t> packet_builder::writeTcp(
    tcp_fields const& fields, std::span<uint8_t const> payload, std::span<uint8_t> output) const noexcept
{
    auto const segment = writeHeader(ip_protocol::Tcp, tcpHeaderSize + payload.size(), output);
    if (!segment)
        return std::nullopt;
    storeBigEndian32(*segment, 4, fields.sequence);
    storeBigEndian32(*segment, 8, fields.acknowledgement);
    (*segment)[12] = tcpHeaderSize / 4 << 4;
    (*segment)[13] = fields.flags;
    storeBigEndian16(*segment, 14, fields.window);
    storeBigEndian32(*segment, 16, 0);
    std::copy(payload.begin(), payload.end(), segment->begin() + tcpHeaderSize);
    storeBigEndian16(*segment, 16,
        transportChecksum(m_key.source, m_key.destination, static_cast<uint8_t>(ip_protocol::Tcp), *segment));
    return ipHeaderSizeFor(m_key.source) + segment->size();
}

std::optional<size_t> packet_builder::writeUdp(
    std::span<uint8_t const> payload, std::span<uint8_t> output) const noexcept
{
    auto const segment = writeHeader(ip_protocol::Udp, udpHeaderSize + payload.size(), output);
    if (!segment)
        return std::nullopt;
    storeBigEndian16(*segment, 4, static_cast<uint16_t>(segment->size()));
    storeBigEndian16(*segment, 6, 0);
    std::copy(payload.begin(), payload.end(), segment->begin() + udpHeaderSize);
    auto const checksum
        = transportChecksum(m_key.source, m_key.destination, static_cast<uint8_t>(ip_protocol::Udp), *segment);
    // 0 means "no checksum", so a computed 0 is sent as all ones (RFC 768).
    storeBigEndian16(*segment, 6, checksum == 0 ? 0xffff : checksum);
    return ipHeaderSizeFor(m_key.source) + segment->size();
}

std::vector<uint8_t> packet_builder::tcp(tcp_fields const& fields, std::span<uint8_t const> payload) const
{
    std::vector<uint8_t> packet(ipHeaderSizeFor(m_key.source) + tcpHeaderSize + payload.size());
    packet.resize(writeTcp(fields, payload, packet).value_or(0));
    return packet;
}

std::vector<uint8_t> packet_builder::udp(std::span<uint8_t const> payload) const
{
    std::vector<uint8_t> packet(ipHeaderSizeFor(m_key.source) + udpHeaderSize + payload.size());
    packet.resize(writeUdp(payload, packet).value_or(0));
    return packet;
}

} // namespace bilberryyard
