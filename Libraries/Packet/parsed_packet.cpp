#include <Packet/parsed_packet.h>

#include <Packet/byte_order.h>
#include <Packet/checksum.h>
#include <Packet/icmp_error.h>
#include <Packet/ip_header.h>
#include <array>

namespace bilberryyard {

namespace {

    // In the order of the enumerators.
    constexpr std::array<std::string_view, dropReasonCount> reasonNames {
        "truncated",
        "bad_version",
        "bad_length",
        "bad_checksum",
        "hop_limit_zero",
        "fragment",
        "too_many_extension_headers",
        "routing_header_type_0",
        "unknown_protocol",
        "bad_tcp_flags",
        "syn_with_payload",
        "unsupported_icmp",
        "no_service",
        "bad_relay_header",
        "too_many_relays",
        "relay_too_old",
        "no_server",
        "no_peer",
        "server_dead",
    };
    static_assert(!reasonNames.back().empty());

    // FIN, SYN, RST, PSH, ACK and URG; a segment with none of them is invalid whatever its ECN bits are.
    constexpr uint8_t controlFlags = 0x3f;

    flow_key keyOf(ip_header const& header, std::span<uint8_t const> transport) noexcept
    {
        return { header.source, header.destination, loadBigEndian16(transport, 0), loadBigEndian16(transport, 2),
            static_cast<ip_protocol>(header.protocol) };
    }

    bool hasValidFlags(uint8_t flags) noexcept
    {
        if ((flags & controlFlags) == 0)
            return false;
        return (flags & tcp_flags::syn) == 0 || (flags & (tcp_flags::fin | tcp_flags::rst)) == 0;
    }

    parse_result parseTcp(ip_header const& header, std::span<uint8_t const> segment) noexcept
    {
        if (segment.size() < tcpHeaderSize)
            return drop_reason::Truncated;
        size_t const dataOffset = (segment[12] >> 4) * size_t { 4 };
        if (dataOffset < tcpHeaderSize)
            return drop_reason::BadLength;
        if (dataOffset > segment.size())
            return drop_reason::Truncated;
        uint8_t const flags = segment[13];
        if (!hasValidFlags(flags))
            return drop_reason::BadTcpFlags;
        bool const startsFlow = (flags & (tcp_flags::syn | tcp_flags::ack)) == tcp_flags::syn;
        auto const payloadLength = static_cast<uint32_t>(segment.size() - dataOffset);
        if (startsFlow && payloadLength > 0)
            return drop_reason::SynWithPayload;
        return parsed_packet { keyOf(header, segment), startsFlow ? packet_kind::TcpSyn : packet_kind::TcpSegment,
            flags, loadBigEndian32(segment, 4), loadBigEndian32(segment, 8), payloadLength };
    }

    parse_result parseUdp(ip_header const& header, std::span<uint8_t const> datagram) noexcept
    {
        if (datagram.size() < udpHeaderSize)
            return drop_reason::Truncated;
        if (loadBigEndian16(datagram, 4) != datagram.size())
            return drop_reason::BadLength;
        parsed_packet packet { keyOf(header, datagram), packet_kind::Datagram };
        packet.payloadLength = static_cast<uint32_t>(datagram.size() - udpHeaderSize);
        return packet;
    }

    bool hasValidIcmpChecksum(ip_header const& header, std::span<uint8_t const> message) noexcept
    {
        if (header.version == 4)
            return internetChecksum(message) == 0;
        return transportChecksum(header.source, header.destination, header.protocol, message) == 0;
    }

    // Only the ports are needed, and 8 bytes of the transport header are all that RFC 792 promises.
    parse_result parseQuotedPacket(ip_header const& outer, std::span<uint8_t const> quoted) noexcept
    {
        auto const result = parseIpHeader(quoted, ip_header_scope::Quoted);
        if (auto const* reason = std::get_if<drop_reason>(&result))
            return *reason;
        auto const& inner = std::get<ip_header>(result);
        if (inner.version != outer.version)
            return drop_reason::BadVersion;
        bool const hasPorts = inner.protocol == static_cast<uint8_t>(ip_protocol::Tcp)
            || inner.protocol == static_cast<uint8_t>(ip_protocol::Udp);
        // An error is addressed to the sender of the quoted packet. Any other error would reach a server of
        // a service that it is not addressed to.
        if (!hasPorts || inner.source != outer.destination)
            return drop_reason::UnsupportedIcmp;
        auto const transport = quoted.subspan(inner.payloadOffset);
        if (transport.size() < icmpQuotedTransportSize)
            return drop_reason::Truncated;
        auto const sent = keyOf(inner, transport);
        parsed_packet packet;
        packet.key = { sent.destination, sent.source, sent.destinationPort, sent.sourcePort, sent.protocol };
        packet.kind = packet_kind::IcmpError;
        return packet;
    }

    parse_result parseIcmp(ip_header const& header, std::span<uint8_t const> message) noexcept
    {
        if (message.size() < icmpHeaderSize)
            return drop_reason::Truncated;
        // The flow key is taken from the message, which only this checksum protects.
        if (!hasValidIcmpChecksum(header, message))
            return drop_reason::BadChecksum;
        if (!isIcmpErrorType(header.version, message[0]))
            return drop_reason::UnsupportedIcmp;
        return parseQuotedPacket(header, message.subspan(icmpHeaderSize));
    }

} // namespace

std::string_view dropReasonName(drop_reason reason) { return reasonNames[static_cast<size_t>(reason)]; }

parse_result parsePacket(std::span<uint8_t const> bytes) noexcept
{
    auto const result = parseIpHeader(bytes, ip_header_scope::Packet);
    if (auto const* reason = std::get_if<drop_reason>(&result))
        return *reason;
    auto const& header = *std::get_if<ip_header>(&result);
    auto const payload = bytes.subspan(header.payloadOffset);
    switch (static_cast<ip_protocol>(header.protocol)) {
    case ip_protocol::Tcp:
        return parseTcp(header, payload);
    case ip_protocol::Udp:
        return parseUdp(header, payload);
    case ip_protocol::Icmp:
        return header.version == 4 ? parseIcmp(header, payload) : drop_reason::UnknownProtocol;
    case ip_protocol::Icmpv6:
        return header.version == 6 ? parseIcmp(header, payload) : drop_reason::UnknownProtocol;
    }
    return drop_reason::UnknownProtocol;
}

} // namespace bilberryyard
