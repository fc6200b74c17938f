#pragma once

#include <Base/identifiers.h>
#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <span>

namespace bilberryyard {

/// What the receiver of a relayed packet is asked to do.
enum class relay_kind : uint8_t {
    /// Resolve the server of the packet's flow.
    Lookup = 1,
    /// Record `server` as the choice of the primary witness for this flow, then pass the packet on.
    Record = 2,
};

/// The header in front of an inner packet that one balancer relays to another.
struct relay_header {
    relay_kind kind = relay_kind::Lookup;
    /// Relays so far; a packet with more than maximumRelays is dropped.
    uint8_t relays = 0;
    /// Witness group that the receiver is asked as; groups differ only after a partition.
    uint8_t group = 0;
    host_id sender;
    service_id service;
    /// The primary's choice for Record, otherwise noServer.
    server_id server = noServer;
    /// Time the packet has spent inside the system so far, in milliseconds.
    uint16_t ageMilliseconds = 0;
    auto operator<=>(relay_header const&) const = default;
};

/// Longest legitimate path: unsynchronised host, non-witness, primary, second witness.
inline constexpr uint8_t maximumRelays = 4;

/// Size of the encoded header in bytes.
inline constexpr size_t relayHeaderSize = 20;

/// @param header The header.
/// @return Its encoding in network byte order.
std::array<uint8_t, relayHeaderSize> encodeRelayHeader(relay_header const& header) noexcept;

/// Writes a relay header in front of an inner packet.
/// @param buffer A buffer that holds the packet from innerOffset to its end.
/// @param innerOffset Start of the packet, at least relayHeaderSize.
/// @param header The header.
/// @return The header and the packet, or nothing when there is no headroom.
std::optional<std::span<uint8_t>> prependRelayHeader(
    std::span<uint8_t> buffer, size_t innerOffset, relay_header const& header) noexcept;

/// @param bytes A received datagram; the inner packet starts at relayHeaderSize.
/// @return The header, or nothing when the bytes are not a relay header of this version.
std::optional<relay_header> decodeRelayHeader(std::span<uint8_t const> bytes) noexcept;

} // namespace bilberryyard
