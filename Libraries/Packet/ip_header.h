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

/// IPv4 options or IPv6 extension headers that are skipped before a packet is dropped.
inline constexpr int maximumExtensionHeaders = 8;

/// What a transport parser needs to know of an IP header, after options and extension headers. The addresses stay in
/// the packet, from where readSource() and readDestination() copy them to their final place only once.
struct ip_header {
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

/// The header, or why the packet must be dropped.
using ip_header_result = std::variant<ip_header, drop_reason>;

/// Parses an IPv4 or IPv6 header with its options or extension headers.
/// @param bytes The packet, starting with the IP header.
/// @param scope Which checks apply.
/// @return The header, or why the packet must be dropped.
ip_header_result parseIpHeader(std::span<uint8_t const> bytes, ip_header_scope scope) noexcept;

/// @param bytes A packet for which parseIpHeader() returned this version.
/// @param version 4 or 6.
/// @param offset Where the address is: 12 or 16 for IPv4, 8 or 24 for IPv6.
/// @return The address.
inline ip_address readAddress(std::span<uint8_t const> bytes, uint8_t version, size_t offset) noexcept
{
    ip_address address;
    if (version == 6) {
        std::memcpy(address.bytes.data(), bytes.data() + offset, address.bytes.size());
        return address;
    }
    // Written as a whole 64-bit word, because flow keys are read in such words soon after, and a processor
    // waits for smaller writes to reach the cache before it can read them as one.
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

/// The fields of a header to be written.
struct ip_header_fields {
    ip_address source;
    /// Of the same family as the source.
    ip_address destination;
    uint8_t protocol = 0;
    /// TTL or hop limit.
    uint8_t hopLimit = 64;
    auto operator<=>(ip_header_fields const&) const = default;
};

/// Writes a header without options.
/// @param fields Its fields.
/// @param payloadLength Bytes that follow the header; the packet has at most 65,535 bytes.
/// @param output At least ipHeaderSizeFor() bytes.
/// @return Size of the header that was written.
size_t writeIpHeader(ip_header_fields const& fields, size_t payloadLength, std::span<uint8_t> output) noexcept;

/// @param address An address of the family.
/// @return Size of the fixed header of that family.
inline size_t ipHeaderSizeFor(ip_address const& address) { return address.isIpv4() ? ipv4HeaderSize : ipv6HeaderSize; }

} // namespace bilberryyard
