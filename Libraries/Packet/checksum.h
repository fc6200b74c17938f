#pragma once

#include <Packet/ip_address.h>
#include <cstdint>
#include <span>

namespace bilberryyard {

/// Computes the Internet checksum (RFC 1071) of a header whose checksum field is 0. Over a header with
/// its checksum in place the result is 0 exactly when that checksum is correct.
/// @param bytes The header.
/// @return The checksum in host byte order.
uint16_t internetChecksum(std::span<uint8_t const> bytes) noexcept;

/// Computes the checksum of a transport segment with its pseudo-header (RFC 9293 section 3.1,
/// RFC 8200 section 8.1).
/// @param source Source address; its family selects the pseudo-header.
/// @param destination Destination address of the same family.
/// @param protocol IP protocol number of the segment.
/// @param segment Transport header and payload.
/// @return As internetChecksum().
uint16_t transportChecksum(ip_address const& source, ip_address const& destination, uint8_t protocol,
    std::span<uint8_t const> segment) noexcept;

} // namespace bilberryyard
