#pragma once

#include <Placement/caller_packet.h>
#include <concepts>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace bilberryyard {

/// How packets look on the wire of a deployment. Packets arrive as the payload of UDP datagrams.
template <typename Format>
concept packet_format = requires(std::span<uint8_t> packet, std::span<uint8_t const> received,
    std::span<uint8_t, Format::prefixBytes> prefix, uint32_t token, uint64_t tag, caller_packet const& decoded)
{
    /// The packet of a caller; nothing for other bytes.
    {
        Format::parse(received)
        } -> std::same_as<std::optional<caller_packet>>;
    /// Writes the token into a packet that parse() has read.
    Format::setToken(packet, token);
    /// Writes what precedes the packet in a datagram to a server.
    Format::writePrefix(prefix, tag);
    /// A packet to the caller that resets its flow.
    {
        Format::makeReset(decoded)
        } -> std::same_as<std::string>;
};

} // namespace bilberryyard
