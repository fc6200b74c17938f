#pragma once

#include <Packet/ip_address.h>
#include <compare>
#include <cstdint>
#include <optional>
#include <span>

namespace bilberryyard {

/// Minimum number of bytes of the transport header that an ICMP error quotes (RFC 792).
inline constexpr size_t icmpQuotedTransportSize = 8;

/// Largest ICMP error: IPv4 errors stay within 576 bytes (RFC 1812 section 4.3.2.3), IPv6 errors within the
/// minimum MTU of 1,280 bytes (RFC 4443 section 2.4 c).
inline constexpr size_t maximumIcmpv4ErrorSize = 576;
inline constexpr size_t maximumIcmpv6ErrorSize = 1280;

/// Type and code of an ICMP error.
struct icmp_error_code {
    uint8_t type = 0;
    uint8_t code = 0;
    auto operator<=>(icmp_error_code const&) const = default;
};

/// RFC 792, destination unreachable.
inline constexpr icmp_error_code icmpPortUnreachable { 3, 3 };
inline constexpr icmp_error_code icmpFragmentationNeeded { 3, 4 };
/// RFC 4443 sections 3.1 and 3.2.
inline constexpr icmp_error_code icmpv6PortUnreachable { 1, 4 };
inline constexpr icmp_error_code icmpv6PacketTooBig { 2, 0 };

struct icmp_error_fields {
    /// The host that reports the error.
    ip_address source;
    /// The sender of the packet that the error is about; its family selects ICMP or ICMPv6.
    ip_address destination;
    icmp_error_code code;
    /// The four bytes after the checksum: the MTU for icmpFragmentationNeeded and icmpv6PacketTooBig,
    /// otherwise 0.
    uint32_t parameter = 0;
    auto operator<=>(icmp_error_fields const&) const = default;
};

/// Recognises ICMP errors that concern a flow. Redirects, which concern a router, and source quench, which is obsolete
/// (RFC 6633), are excluded.
/// @param ipVersion 4 for ICMP, 6 for ICMPv6.
/// @return Whether the type is destination unreachable, packet too big, time exceeded or parameter problem.
bool isIcmpErrorType(uint8_t ipVersion, uint8_t type) noexcept;

/// Writes an IP packet with an ICMP or ICMPv6 error that quotes as much of the offending packet as is allowed.
/// @param fields Both addresses must be of the same family.
/// @param offending The packet that the error is about, starting with its IP header.
/// @param output Must not overlap the offending packet.
/// @return Size of the written packet; nothing when the output is too small or the families differ.
std::optional<size_t> writeIcmpError(
    icmp_error_fields const& fields, std::span<uint8_t const> offending, std::span<uint8_t> output) noexcept;

} // namespace bilberryyard
