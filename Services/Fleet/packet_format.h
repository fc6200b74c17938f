#pragma once

#include <Placement/caller_packet.h>
#include <concepts>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace bilberryyard {

/// The wire format of a deployment's packets, which arrive as the payload of UDP datagrams.
template <typename Format>
concept packet_format = requires(std::span<uint8_t> packet, std::span<uint8_t const> received,
    std::span<uint8_t, Format::prefixBytes> prefix, uint32_t token, uint64_t tag, caller_packet const& decoded)
{
    /// Decodes the packet of a caller; returns nullopt for any other bytes.
    {
        Format::parse(received)
        } -> std::same_as<std::optional<caller_packet>>;
    /// Overwrites the flow token of a packet that parse() has decoded.
    Format::setToken(packet, token);
    /// Writes the prefix that precedes the packet in a datagram to a backend server.
    Format::writePrefix(prefix, tag);
    /// Builds a packet that resets the caller's flow.
    {
        Format::makeReset(decoded)
        } -> std::same_as<std::string>;
};

} // namespace bilberryyard
