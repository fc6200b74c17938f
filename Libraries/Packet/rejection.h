#pragma once

#include <Packet/icmp_error.h>
#include <cstdint>
#include <optional>
#include <span>

namespace bilberryyard {

/// A buffer of this size holds any rejection.
inline constexpr size_t maximumRejectionSize = maximumIcmpv6ErrorSize;

/// Writes the TCP RST that answers a segment of a connection that does not exist (RFC 9293 section 3.10.7.1).
/// A segment without ACK, such as a SYN, gets sequence 0 and an acknowledgement of SEG.SEQ + SEG.LEN; a segment
/// with ACK gets an RST at SEG.ACK.
/// @param offending The caller's packet, starting with its IP header.
/// @param output Where to write; must not overlap the offending packet.
/// @return Size of the packet from service to caller. Nothing when the offending packet would be dropped by
/// parsePacket(), is no TCP segment, is itself an RST, has a bad TCP checksum or an address that is not a single
/// host, or when the output is too small.
std::optional<size_t> buildTcpReset(std::span<uint8_t const> offending, std::span<uint8_t> output) noexcept;

/// Writes the ICMP port unreachable (RFC 792) or ICMPv6 port unreachable (RFC 4443 section 3.1) that answers a UDP
/// datagram. The caller limits the rate (RFC 4443 section 2.4 f).
/// @param offending The caller's packet, starting with its IP header.
/// @param output Where to write; must not overlap the offending packet.
/// @return Size of the packet from service to caller. Nothing when the offending packet would be dropped by
/// parsePacket(), is no UDP datagram (so never for ICMP), has a bad UDP checksum or an address that is not a single
/// host, or when the output is too small.
std::optional<size_t> buildPortUnreachable(std::span<uint8_t const> offending, std::span<uint8_t> output) noexcept;

} // namespace bilberryyard
