#pragma once

#include <Packet/flow_key.h>
#include <compare>
#include <cstdint>
#include <span>
#include <string_view>
#include <variant>

namespace bilberryyard {

/// The reason for dropping a packet. Each one has its own counter, exported under a name that starts with
/// "packets_dropped_" followed by dropReasonName().
enum class drop_reason : uint8_t {
    Truncated,
    BadVersion,
    BadLength,
    BadChecksum,
    HopLimitZero,
    Fragment,
    TooManyExtensionHeaders,
    RoutingHeaderType0,
    UnknownProtocol,
    BadTcpFlags,
    SynWithPayload,
    UnsupportedIcmp,
    NoService,
    BadRelayHeader,
    TooManyRelays,
    RelayTooOld,
    NoServer,
    NoPeer,
    ServerDead,
};

/// @return The stable name of the reason in snake case, for metrics.
std::string_view dropReasonName(drop_reason reason);

/// Number of drop reasons, for counters indexed by reason.
inline constexpr size_t dropReasonCount = static_cast<size_t>(drop_reason::ServerDead) + 1;

/// The kind of a packet with regard to its flow.
enum class packet_kind : uint8_t {
    /// TCP SYN without ACK: starts a flow.
    TcpSyn,
    /// Any other TCP segment.
    TcpSegment,
    /// UDP.
    Datagram,
    /// ICMP or ICMPv6 error about a flow; the key is that of the flow, from caller to service.
    IcmpError,
};

/// TCP header flags (RFC 9293 section 3.1).
namespace tcp_flags {
    inline constexpr uint8_t fin = 0x01;
    inline constexpr uint8_t syn = 0x02;
    inline constexpr uint8_t rst = 0x04;
    inline constexpr uint8_t psh = 0x08;
    inline constexpr uint8_t ack = 0x10;
} // namespace tcp_flags

/// The fields of an inner packet that forwarding decisions depend on, in host byte order.
struct parsed_packet {
    flow_key key;
    packet_kind kind = packet_kind::Datagram;
    uint8_t tcpFlags = 0;
    uint32_t tcpSequence = 0;
    uint32_t tcpAcknowledgement = 0;
    /// Bytes after the transport header; 0 for IcmpError, which carries no payload of the flow.
    uint32_t payloadLength = 0;
    /// Flow token that identifies the server, in packet formats that contain one; otherwise 0.
    uint32_t token = 0;
    auto operator<=>(parsed_packet const&) const = default;
};

using parse_result = std::variant<parsed_packet, drop_reason>;

/// Parses an IP packet from a caller to a service. Checks every length before use, so that it never reads outside the
/// given bytes.
/// @param bytes The packet, starting with the IP header.
/// @return The fields, or the reason for dropping the packet.
parse_result parsePacket(std::span<uint8_t const> bytes) noexcept;

} // namespace bilberryyard
