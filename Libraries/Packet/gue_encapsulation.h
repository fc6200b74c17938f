#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace bilberryyard {

/// Destination port of Generic UDP Encapsulation (IANA service name "gue").
inline constexpr uint16_t gueUdpPort = 6080;

/// Size of the variant 0 base header (draft-ietf-intarea-gue-09 section 3.1).
inline constexpr size_t gueHeaderSize = 4;

/// Writes a GUE variant 0 base header (draft-ietf-intarea-gue-09 section 3.1) in front of an IP packet. The outer UDP
/// and IP headers are added by the socket that sends the result.
/// @param buffer Contains the packet from innerOffset to its end.
/// @param innerOffset Start of the packet, at least gueHeaderSize.
/// @return The part of the buffer with header and packet; nothing when the headroom is too small or the buffer does not
///     contain an IPv4 or IPv6 packet.
std::optional<std::span<uint8_t>> encapsulateGue(std::span<uint8_t> buffer, size_t innerOffset) noexcept;

/// Removes the GUE header of a datagram, as the kernel of a backend server does.
/// @param datagram Payload of a UDP datagram for gueUdpPort.
/// @return The inner packet; nothing when the datagram is not a variant 0 data message or when the IP version of its
///     payload does not match the header. Optional fields are skipped; unknown flags are refused (section 3.3.1).
std::optional<std::span<uint8_t const>> decapsulateGue(std::span<uint8_t const> datagram) noexcept;

} // namespace bilberryyard
