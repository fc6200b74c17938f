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

/// Puts a GUE variant 0 base header (draft-ietf-intarea-gue-09 section 3.1) in front of an IP packet. The UDP
/// and IP headers outside it are those of the socket that sends the result.
/// @param buffer A buffer that holds the packet from innerOffset to its end.
/// @param innerOffset Start of the packet, at least gueHeaderSize.
/// @return The header and the packet, or nothing when there is no headroom or no IPv4 or IPv6 packet.
std::optional<std::span<uint8_t>> encapsulateGue(std::span<uint8_t> buffer, size_t innerOffset) noexcept;

/// Takes the GUE header off a datagram, as a backend server's kernel does.
/// @param datagram Payload of a UDP datagram for gueUdpPort.
/// @return The inner packet, or nothing when the datagram is not a variant 0 data message that carries the
/// IP version its header names. Optional fields are skipped; unknown flags are refused (section 3.3.1).
std::optional<std::span<uint8_t const>> decapsulateGue(std::span<uint8_t const> datagram) noexcept;

} // namespace bilberryyard
