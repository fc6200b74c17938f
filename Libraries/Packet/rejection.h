#pragma once

#include <Packet/icmp_error.h>
#include <cstdint>
#include <optional>
#include <span>

namespace bilberryyard {

/// Sufficient buffer size for every rejection, in bytes.
inline constexpr size_t maximumRejectionSize = maximumIcmpv6ErrorSize;

/// Writes the TCP RST for a segment of a connection that does not exist (RFC 9293 section 3.10.7.1).
/// A segment without ACK, such as a SYN, gets sequence 0 and an acknowledgement of SEG.SEQ + SEG.LEN; a segment
/// with ACK gets an RST at SEG.ACK.
/// @param offending The caller's packet, starting with its IP header.
/// @param output Must not overlap the offending packet.
/// @return Size of the packet from service to caller. Nothing when parsePacket() would drop the offending packet, when
///     it is not a TCP segment, is itself an RST, has a wrong TCP checksum or an address that is not a single host, or
///     when the output is too small.
std::optional<size_t> buildTcpReset(std::span<uint8_t const> offending, std::span<uint8_t> output) noexcept;

/// Writes the ICMP port unreachable error (RFC 792) or ICMPv6 port unreachable error (RFC 4443 section 3.1) for a UDP
/// datagram. The calling code must limit the rate of errors (RFC 4443 section 2.4 f).
/// @param offending The caller's packet, starting with its IP header.
/// @param output Must not overlap the offending packet.
/// @return Size of the packet from service to caller. Nothing when parsePacket() would drop the offending packet, when
///     it is not a UDP datagram (so never for ICMP), has a wrong UDP checksum or an address that is not a single host,
///     or when the output is too small.
std::optional<size_t> buildPortUnreachable(std::span<uint8_t const> offending, std::span<uint8_t> output) noexcept;

} // namespace bilberryyard
