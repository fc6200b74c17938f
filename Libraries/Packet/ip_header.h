#pragma once

#include <Packet/ip_address.h>
#include <Packet/parsed_packet.h>
#include <compare>
#include <cstdint>
#include <span>
#include <variant>

namespace bilberryyard {

/// Sizes of the fixed headers (RFC 791 section 3.1, RFC 8200 section 3, RFC 9293 section 3.1, RFC 768, RFC 792).
inline constexpr size_t ipv4HeaderSize = 20;
inline constexpr size_t ipv6HeaderSize = 40;
inline constexpr size_t tcpHeaderSize = 20;
inline constexpr size_t udpHeaderSize = 8;
inline constexpr size_t icmpHeaderSize = 8;

/// IPv4 options or IPv6 extension headers that are skipped before a packet is dropped.
inline constexpr int maximumExtensionHeaders = 8;

/// The fields of an IP header that transport parsers need, after options and extension headers.
struct ip_header {
    ip_address source;
    ip_address destination;
    /// 4 or 6.
    uint8_t version = 4;
    /// Protocol of the payload, which need not be one that ip_protocol names.
    uint8_t protocol = 0;
    /// Where the transport header starts.
    uint32_t payloadOffset = 0;
    auto operator<=>(ip_header const&) const = default;
};

/// Which checks apply to an IP header.
enum class ip_header_scope : uint8_t {
    /// A received packet: everything is checked.
    Packet,
    /// The start of a packet quoted by an ICMP error. Routers cut it and may have changed its hop limit,
    /// checksum and lengths (RFC 1812 section 4.3.2.3), so these are not checked; a first fragment still
    /// has its ports and is accepted.
    Quoted,
};

using ip_header_result = std::variant<ip_header, drop_reason>;

/// Parses an IPv4 or IPv6 header with its options or extension headers.
/// @param bytes The packet, starting with the IP header.
/// @param scope Which checks apply.
/// @return The header, or why the packet must be dropped.
ip_header_result parseIpHeader(std::span<uint8_t const> bytes, ip_header_scope scope) noexcept;

/// Writes a header without options.
/// @param header Addresses of the same family and the protocol; version and payloadOffset are not used.
/// @param hopLimit TTL or hop limit.
/// @param payloadLength Bytes that follow the header; at most 65,515.
/// @param output At least ipHeaderSizeFor() bytes.
/// @return Size of the header that was written.
size_t writeIpHeader(
    ip_header const& header, uint8_t hopLimit, size_t payloadLength, std::span<uint8_t> output) noexcept;

/// @param address An address of the family.
/// @return Size of the fixed header of that family.
inline size_t ipHeaderSizeFor(ip_address const& address) { return address.isIpv4() ? ipv4HeaderSize : ipv6HeaderSize; }

} // namespace bilberryyard
