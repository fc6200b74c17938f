#pragma once

#include <Packet/flow_key.h>
#include <Packet/parsed_packet.h>
#include <absl/status/statusor.h>
#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace bilberryyard {

/// The header fields of a TCP segment except for the ports.
struct tcp_fields {
    uint8_t flags = tcp_flags::ack;
    uint32_t sequence = 0;
    uint32_t acknowledgement = 0;
    uint16_t window = 65535;
    auto operator<=>(tcp_fields const&) const = default;
};

/// Builds IP packets with valid checksums from the source to the destination of a flow key.
class packet_builder {
public:
    /// @param key The protocol is ignored.
    /// @param hopLimit TTL or hop limit of the packets.
    /// @return The builder; InvalidArgument when the addresses are of different families.
    static absl::StatusOr<packet_builder> create(flow_key const& key, uint8_t hopLimit = 64);

    /// Writes a packet with a TCP segment without options.
    /// @param output Must not overlap the payload.
    /// @return Size of the packet; nothing when it exceeds the output or the maximum size of an IP packet.
    std::optional<size_t> writeTcp(
        tcp_fields const& fields, std::span<uint8_t const> payload, std::span<uint8_t> output) const noexcept;

    /// Writes a packet with a UDP datagram.
    /// @param output Must not overlap the payload.
    /// @return Size of the packet; nothing when it exceeds the output or the maximum size of an IP packet.
    std::optional<size_t> writeUdp(std::span<uint8_t const> payload, std::span<uint8_t> output) const noexcept;

    /// @return The packet; empty when it would exceed 65,535 bytes.
    std::vector<uint8_t> tcp(tcp_fields const& fields, std::span<uint8_t const> payload = {}) const;

    /// @return The packet; empty when it would exceed 65,535 bytes.
    std::vector<uint8_t> udp(std::span<uint8_t const> payload = {}) const;

private:
    packet_builder(flow_key const& key, uint8_t hopLimit)
        : m_key(key)
        , m_hopLimit(hopLimit)
    {
    }

    std::optional<std::span<uint8_t>> writeHeader(
        ip_protocol protocol, size_t segmentSize, std::span<uint8_t> output) const noexcept;

    flow_key m_key;
    uint8_t m_hopLimit;
};

} // namespace bilberryyard
