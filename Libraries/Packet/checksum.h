#pragma once

#include <Packet/ip_address.h>
#include <cstdint>
#include <span>

namespace bilberryyard {

/// Computes the Internet checksum (RFC 1071) of a header whose checksum field is 0. For a header with its checksum
/// filled in, the result is 0 exactly if that checksum is correct.
/// @return The checksum in host byte order.
uint16_t internetChecksum(std::span<uint8_t const> bytes) noexcept;

/// Computes the checksum of a transport segment with its pseudo-header (RFC 9293 section 3.1,
/// RFC 8200 section 8.1).
/// @param source Its family selects the pseudo-header.
/// @param destination Must be of the same family as the source.
/// @param protocol IP protocol number of the segment.
/// @param segment Transport header and payload.
/// @return The checksum in host byte order; 0 for a segment with a correct checksum, as for internetChecksum().
uint16_t transportChecksum(ip_address const& source, ip_address const& destination, uint8_t protocol,
    std::span<uint8_t const> segment) noexcept;

} // namespace bilberryyard
