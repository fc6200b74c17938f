#include <Packet/rejection.h>

#include <Packet/byte_order.h>
#include <Packet/checksum.h>
#include <Packet/ip_header.h>
#include <Packet/packet_builder.h>
#include <Packet/parsed_packet.h>
#include <algorithm>

namespace bilberryyard {

namespace {

    // An error must not be sent about a packet whose source or destination is not a single host (RFC 1122
    // section 3.2.2, RFC 4443 section 2.4 e). Loopback addresses are accepted, because emulated deployments use them.
    bool isSingleHost(ip_address const& address) noexcept
    {
        if (!address.isIpv4())
            return address.bytes[0] != 0xff && address != ip_address {};
        uint8_t const first = address.bytes[12];
        // 0/8 is "this network", 224/4 is multicast, 240/4 is reserved and contains the limited broadcast address.
        return first != 0 && first < 224;
    }

    // parsePacket() does not verify transport checksums, because servers do. The rejection of a damaged packet could be
    // sent to another flow than that of the packet.
    bool hasValidTransportChecksum(std::span<uint8_t const> bytes, flow_key const& key) noexcept
    {
        auto const header = std::get<ip_header>(parseIpHeader(bytes, ip_header_scope::Packet));
        auto const segment = bytes.subspan(header.payloadOffset);
        bool const isUdp = header.protocol == static_cast<uint8_t>(ip_protocol::Udp);
        // UDP without a checksum is allowed over IPv4 only (RFC 8200 section 8.1).
        if (isUdp && loadBigEndian16(segment, 6) == 0)
            return header.version == 4;
        return transportChecksum(key.source, key.destination, header.protocol, segment) == 0;
    }

    std::optional<parsed_packet> parseRejectable(std::span<uint8_t const> offending) noexcept
    {
        auto const result = parsePacket(offending);
        auto const* packet = std::get_if<parsed_packet>(&result);
        if (!packet || packet->kind == packet_kind::IcmpError)
            return std::nullopt;
        if (!isSingleHost(packet->key.source) || !isSingleHost(packet->key.destination))
            return std::nullopt;
        if (!hasValidTransportChecksum(offending, packet->key))
            return std::nullopt;
        return *packet;
    }

    // SEG.LEN counts SYN and FIN (RFC 9293 section 3.4).
    uint32_t segmentLength(parsed_packet const& packet) noexcept
    {
        return packet.payloadLength + ((packet.tcpFlags & tcp_flags::syn) != 0 ? 1 : 0)
            + ((packet.tcpFlags & tcp_flags::fin) != 0 ? 1 : 0);
    }

    tcp_fields makeResetFields(parsed_packet const& packet) noexcept
    {
        if ((packet.tcpFlags & tcp_flags::ack) != 0)
            return { tcp_flags::rst, packet.tcpAcknowledgement, 0, 0 };
        return { tcp_flags::rst | tcp_flags::ack, 0, packet.tcpSequence + segmentLength(packet), 0 };
    }

} // namespace

std::optional<size_t> buildTcpReset(std::span<uint8_t const> offending, std::span<uint8_t> output) noexcept
{
    auto const packet = parseRejectable(offending);
    if (!packet || packet->kind == packet_kind::Datagram || (packet->tcpFlags & tcp_flags::rst) != 0)
        return std::nullopt;
    auto const& key = packet->key;
    auto const builder
        = packet_builder::create({ key.destination, key.source, key.destinationPort, key.sourcePort, key.protocol });
    if (!builder.ok())
        return std::nullopt;
    return builder->writeTcp(makeResetFields(*packet), {}, output);
}

std::optional<size_t> buildPortUnreachable(std::span<uint8_t const> offending, std::span<uint8_t> output) noexcept
{
    auto const packet = parseRejectable(offending);
    if (!packet || packet->kind != packet_kind::Datagram)
        return std::nullopt;
    auto const code = packet->key.source.isIpv4() ? icmpPortUnreachable : icmpv6PortUnreachable;
    return writeIcmpError({ packet->key.destination, packet->key.source, code }, offending, output);
}

} // namespace bilberryyard
