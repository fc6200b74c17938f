#pragma once

#include <Packet/flow_key.h>
#include <compare>
#include <cstdint>
#include <span>
#include <string_view>
#include <variant>

namespace bilberryyard {

/// Why a packet was dropped. Each reason has its own counter, "packets_dropped_total" by reason name.
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

/// @param reason The reason.
/// @return Its stable name in snake case, for metrics.
std::string_view dropReasonName(drop_reason reason);

/// Number of drop reasons, for counters indexed by reason.
inline constexpr size_t dropReasonCount = static_cast<size_t>(drop_reason::ServerDead) + 1;

/// What a packet means for its flow.
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

/// The fields of an inner packet that decisions need. Numbers are in host byte order.
struct parsed_packet {
    flow_key key;
    packet_kind kind = packet_kind::Datagram;
    uint8_t tcpFlags = 0;
    uint32_t tcpSequence = 0;
    uint32_t tcpAcknowledgement = 0;
    /// Bytes after the transport header; 0 for IcmpError, which carries no payload of the flow.
    uint32_t payloadLength = 0;
    /// Stands for the flow's server in packet formats that carry such a token; 0 in others.
    uint32_t token = 0;
    auto operator<=>(parsed_packet const&) const = default;
};

using parse_result = std::variant<parsed_packet, drop_reason>;

/// Parses an IP packet that a caller sent towards a service. Reads nothing outside the given bytes and
/// checks every length before use.
/// @param bytes The packet, starting with the IP header.
/// @return The fields, or why the packet must be dropped.
parse_result parsePacket(std::span<uint8_t const> bytes) noexcept;

} // namespace bilberryyard
