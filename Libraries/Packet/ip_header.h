#pragma once

#include <Packet/ip_address.h>
#include <Packet/parsed_packet.h>
#include <compare>
#include <cstdint>
#include <cstring>
#include <span>
#include <variant>

namespace bilberryyard {

/// Sizes of the fixed headers (RFC 791 section 3.1, RFC 8200 section 3, RFC 9293 section 3.1, RFC 768, RFC 792).
inline constexpr size_t ipv4HeaderSize = 20;
inline constexpr size_t ipv6HeaderSize = 40;
inline constexpr size_t tcpHeaderSize = 20;
inline constexpr size_t udpHeaderSize = 8;
inline constexpr size_t icmpHeaderSize = 8;

/// Packets with more IPv4 options or IPv6 extension headers are dropped.
inline constexpr int maximumExtensionHeaders = 8;

/// The result of parsing an IP header with its options or extension headers. It does not contain the addresses:
/// readSource() and readDestination() copy them from the packet directly to their destination, which avoids one copy.
struct ip_header {
    /// 4 or 6.
    uint8_t version = 4;
    /// Protocol number of the payload; may be a value that ip_protocol does not contain.
    uint8_t protocol = 0;
    /// Offset of the transport header in bytes.
    uint32_t payloadOffset = 0;
    auto operator<=>(ip_header const&) const = default;
};

/// Which checks apply to an IP header.
enum class ip_header_scope : uint8_t {
    /// A received packet: all checks apply.
    Packet,
    /// The start of a packet that an ICMP error quotes. Routers truncate it and may have changed its hop limit,
    /// checksum and lengths (RFC 1812 section 4.3.2.3), so these are not checked. A first fragment is accepted,
    /// because it contains the ports.
    Quoted,
};

/// The header, or the reason for dropping the packet.
using ip_header_result = std::variant<ip_header, drop_reason>;

/// Parses an IPv4 or IPv6 header with its options or extension headers.
/// @param bytes The packet, starting with the IP header.
ip_header_result parseIpHeader(std::span<uint8_t const> bytes, ip_header_scope scope) noexcept;

/// @param bytes A packet for which parseIpHeader() returned this version.
/// @param version 4 or 6.
/// @param offset Position of the address: 12 or 16 for IPv4, 8 or 24 for IPv6.
inline ip_address readAddress(std::span<uint8_t const> bytes, uint8_t version, size_t offset) noexcept
{
    ip_address address;
    if (version == 6) {
        std::memcpy(address.bytes.data(), bytes.data() + offset, address.bytes.size());
        return address;
    }
    // Written as one 64-bit word, because flow keys are read in 64-bit words soon after. With smaller writes the read
    // would stall until they reach the cache, as store forwarding cannot combine them.
    uint32_t value = 0;
    std::memcpy(&value, bytes.data() + offset, sizeof(value));
    uint64_t const mapped = uint64_t { value } << 32 | 0xffff0000U;
    std::memcpy(address.bytes.data() + 8, &mapped, sizeof(mapped));
    return address;
}

/// @param bytes A packet for which parseIpHeader() returned this version.
/// @param version 4 or 6.
/// @return Its source address.
inline ip_address readSource(std::span<uint8_t const> bytes, uint8_t version) noexcept
{
    return readAddress(bytes, version, version == 4 ? 12 : 8);
}

/// @param bytes A packet for which parseIpHeader() returned this version.
/// @param version 4 or 6.
/// @return Its destination address.
inline ip_address readDestination(std::span<uint8_t const> bytes, uint8_t version) noexcept
{
    return readAddress(bytes, version, version == 4 ? 16 : 24);
}

/// The input of writeIpHeader().
struct ip_header_fields {
    ip_address source;
    /// Must be of the same family as the source.
    ip_address destination;
    uint8_t protocol = 0;
    /// TTL or hop limit.
    uint8_t hopLimit = 64;
    auto operator<=>(ip_header_fields const&) const = default;
};

/// Writes an IPv4 or IPv6 header without options.
/// @param payloadLength Number of bytes after the header; the whole packet must not exceed 65,535 bytes.
/// @param output At least ipHeaderSizeFor() bytes.
/// @return Size of the header in bytes.
size_t writeIpHeader(ip_header_fields const& fields, size_t payloadLength, std::span<uint8_t> output) noexcept;

/// @return Size of the fixed header for the family of the address, in bytes.
inline size_t ipHeaderSizeFor(ip_address const& address) { return address.isIpv4() ? ipv4HeaderSize : ipv6HeaderSize; }

} // namespace bilberryyard
