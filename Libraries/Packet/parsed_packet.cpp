#include <Packet/parsed_packet.h>

#include <Packet/byte_order.h>
#include <Packet/checksum.h>
#include <Packet/icmp_error.h>
#include <Packet/ip_header.h>
#include <array>
#include <optional>
#include <utility>

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

    // FIN, SYN, RST, PSH, ACK and URG; a segment with none of them is invalid, regardless of its ECN bits.
    constexpr uint8_t controlFlags = 0x3f;

    // The parsers write into the result in place and return only the reason for a drop. A copy of the result would
    // stall on the preceding narrower writes to it.
    using optional_reason = std::optional<drop_reason>;

    void readKey(std::span<uint8_t const> bytes, ip_header const& header, flow_key& key) noexcept
    {
        auto const transport = bytes.subspan(header.payloadOffset);
        key.source = readSource(bytes, header.version);
        key.destination = readDestination(bytes, header.version);
        key.sourcePort = loadBigEndian16(transport, 0);
        key.destinationPort = loadBigEndian16(transport, 2);
        key.protocol = static_cast<ip_protocol>(header.protocol);
    }

    bool hasValidFlags(uint8_t flags) noexcept
    {
        if ((flags & controlFlags) == 0)
            return false;
        return (flags & tcp_flags::syn) == 0 || (flags & (tcp_flags::fin | tcp_flags::rst)) == 0;
    }

    optional_reason parseTcp(std::span<uint8_t const> segment, parsed_packet& packet) noexcept
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
        packet.kind = startsFlow ? packet_kind::TcpSyn : packet_kind::TcpSegment;
        packet.tcpFlags = flags;
        packet.tcpSequence = loadBigEndian32(segment, 4);
        packet.tcpAcknowledgement = loadBigEndian32(segment, 8);
        packet.payloadLength = static_cast<uint32_t>(segment.size() - dataOffset);
        if (startsFlow && packet.payloadLength > 0)
            return drop_reason::SynWithPayload;
        return std::nullopt;
    }

    optional_reason parseUdp(std::span<uint8_t const> datagram, parsed_packet& packet) noexcept
    {
        if (datagram.size() < udpHeaderSize)
            return drop_reason::Truncated;
        if (loadBigEndian16(datagram, 4) != datagram.size())
            return drop_reason::BadLength;
        packet.kind = packet_kind::Datagram;
        packet.payloadLength = static_cast<uint32_t>(datagram.size() - udpHeaderSize);
        return std::nullopt;
    }

    bool hasValidIcmpChecksum(std::span<uint8_t const> bytes, ip_header const& header) noexcept
    {
        auto const message = bytes.subspan(header.payloadOffset);
        if (header.version == 4)
            return internetChecksum(message) == 0;
        return transportChecksum(readSource(bytes, 6), readDestination(bytes, 6), header.protocol, message) == 0;
    }

    // Only the ports are read: RFC 792 guarantees no more than 8 bytes of the transport header.
    optional_reason parseQuotedPacket(
        uint8_t version, ip_address const& receiver, std::span<uint8_t const> quoted, parsed_packet& packet) noexcept
    {
        auto const result = parseIpHeader(quoted, ip_header_scope::Quoted);
        if (auto const* reason = std::get_if<drop_reason>(&result))
            return *reason;
        auto const& header = *std::get_if<ip_header>(&result);
        if (header.version != version)
            return drop_reason::BadVersion;
        bool const hasPorts = header.protocol == static_cast<uint8_t>(ip_protocol::Tcp)
            || header.protocol == static_cast<uint8_t>(ip_protocol::Udp);
        // An ICMP error must be addressed to the sender of the quoted packet. Otherwise it would be forwarded to a
        // server of a service that it is not addressed to.
        if (!hasPorts || readSource(quoted, version) != receiver)
            return drop_reason::UnsupportedIcmp;
        if (quoted.size() - header.payloadOffset < icmpQuotedTransportSize)
            return drop_reason::Truncated;
        packet.kind = packet_kind::IcmpError;
        readKey(quoted, header, packet.key);
        std::swap(packet.key.source, packet.key.destination);
        std::swap(packet.key.sourcePort, packet.key.destinationPort);
        return std::nullopt;
    }

    optional_reason parseIcmp(std::span<uint8_t const> bytes, ip_header const& header, parsed_packet& packet) noexcept
    {
        auto const message = bytes.subspan(header.payloadOffset);
        if (message.size() < icmpHeaderSize)
            return drop_reason::Truncated;
        // The flow key is read from the message, which is protected only by this checksum.
        if (!hasValidIcmpChecksum(bytes, header))
            return drop_reason::BadChecksum;
        if (!isIcmpErrorType(header.version, message[0]))
            return drop_reason::UnsupportedIcmp;
        return parseQuotedPacket(
            header.version, readDestination(bytes, header.version), message.subspan(icmpHeaderSize), packet);
    }

    optional_reason parseInto(std::span<uint8_t const> bytes, parsed_packet& packet) noexcept
    {
        auto const result = parseIpHeader(bytes, ip_header_scope::Packet);
        if (auto const* reason = std::get_if<drop_reason>(&result))
            return *reason;
        auto const& header = *std::get_if<ip_header>(&result);
        auto const payload = bytes.subspan(header.payloadOffset);
        optional_reason reason = drop_reason::UnknownProtocol;
        switch (static_cast<ip_protocol>(header.protocol)) {
        case ip_protocol::Tcp:
            reason = parseTcp(payload, packet);
            break;
        case ip_protocol::Udp:
            reason = parseUdp(payload, packet);
            break;
        case ip_protocol::Icmp:
            return header.version == 4 ? parseIcmp(bytes, header, packet) : reason;
        case ip_protocol::Icmpv6:
            return header.version == 6 ? parseIcmp(bytes, header, packet) : reason;
        }
        if (!reason)
            readKey(bytes, header, packet.key);
        return reason;
    }

} // namespace

std::string_view dropReasonName(drop_reason reason) { return reasonNames[static_cast<size_t>(reason)]; }

parse_result parsePacket(std::span<uint8_t const> bytes) noexcept
{
    parse_result result(std::in_place_type<parsed_packet>);
    if (auto const reason = parseInto(bytes, *std::get_if<parsed_packet>(&result)))
        result = *reason;
    return result;
}

} // namespace bilberryyard
