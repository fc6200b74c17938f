#pragma once

#include <Base/identifiers.h>
#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <span>

namespace bilberryyard {

/// The operation that the receiver of a relayed packet performs.
enum class relay_kind : uint8_t {
    /// Resolve the server of the packet's flow.
    Lookup = 1,
    /// Record `server` as the server that the primary witness chose for this flow, then forward the packet.
    Record = 2,
};

/// The header in front of an inner packet that one balancer relays to another.
struct relay_header {
    relay_kind kind = relay_kind::Lookup;
    /// Number of relays so far; a packet with more than maximumRelays is dropped.
    uint8_t relays = 0;
    /// Witness group for which the receiver handles the packet; groups differ only after a partition.
    uint8_t group = 0;
    host_id sender;
    service_id service;
    /// For a Record, the server that the primary witness chose; for a Lookup, noServer.
    server_id server = noServer;
    /// Time since the packet entered the system, in milliseconds.
    uint16_t ageMilliseconds = 0;
    auto operator<=>(relay_header const&) const = default;
};

/// The longest valid path: unsynchronised host, non-witness, primary, second witness.
inline constexpr uint8_t maximumRelays = 4;

/// Size of the encoded header in bytes.
inline constexpr size_t relayHeaderSize = 20;

/// @return The header in network byte order.
std::array<uint8_t, relayHeaderSize> encodeRelayHeader(relay_header const& header) noexcept;

/// Writes a relay header in front of an inner packet.
/// @param buffer Contains the packet from innerOffset to its end.
/// @param innerOffset Start of the packet, at least relayHeaderSize.
/// @return The part of the buffer with header and packet; nothing when the headroom is too small.
std::optional<std::span<uint8_t>> prependRelayHeader(
    std::span<uint8_t> buffer, size_t innerOffset, relay_header const& header) noexcept;

/// @param bytes A received datagram; the inner packet starts at relayHeaderSize.
/// @return The header; nothing when the bytes do not start with a valid relay header of this version.
std::optional<relay_header> decodeRelayHeader(std::span<uint8_t const> bytes) noexcept;

} // namespace bilberryyard
