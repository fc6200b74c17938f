#include <Packet/relay_header.h>

#include <Packet/byte_order.h>
#include <algorithm>

namespace bilberryyard {

namespace {

    // The first byte differs from those of IPv4 (0x4_), IPv6 (0x6_) and GUE variant 0 (0x0_), so a packet that arrives
    // at the wrong port is never mistaken for a relayed one.
    constexpr uint16_t relayMagic = 0xb1b7;
    constexpr uint8_t relayVersion = 1;

    // Layout: magic 0-1, version 2, kind 3, relays 4, group 5, age 6-7, sender 8-11, service 12-15,
    // server 16-19.

    std::optional<relay_kind> kindOf(uint8_t value) noexcept
    {
        switch (static_cast<relay_kind>(value)) {
        case relay_kind::Lookup:
        case relay_kind::Record:
            return static_cast<relay_kind>(value);
        }
        return std::nullopt;
    }

} // namespace

std::array<uint8_t, relayHeaderSize> encodeRelayHeader(relay_header const& header) noexcept
{
    std::array<uint8_t, relayHeaderSize> bytes {};
    storeBigEndian16(bytes, 0, relayMagic);
    bytes[2] = relayVersion;
    bytes[3] = static_cast<uint8_t>(header.kind);
    bytes[4] = header.relays;
    bytes[5] = header.group;
    storeBigEndian16(bytes, 6, header.ageMilliseconds);
    storeBigEndian32(bytes, 8, header.sender.value);
    storeBigEndian32(bytes, 12, header.service.value);
    storeBigEndian32(bytes, 16, header.server.value);
    return bytes;
}

std::optional<std::span<uint8_t>> prependRelayHeader(
    std::span<uint8_t> buffer, size_t innerOffset, relay_header const& header) noexcept
{
    if (innerOffset < relayHeaderSize || innerOffset > buffer.size())
        return std::nullopt;
    auto const result = buffer.subspan(innerOffset - relayHeaderSize);
    std::ranges::copy(encodeRelayHeader(header), result.begin());
    return result;
}

std::optional<relay_header> decodeRelayHeader(std::span<uint8_t const> bytes) noexcept
{
    if (bytes.size() < relayHeaderSize || loadBigEndian16(bytes, 0) != relayMagic || bytes[2] != relayVersion)
        return std::nullopt;
    auto const kind = kindOf(bytes[3]);
    if (!kind)
        return std::nullopt;
    server_id const server { loadBigEndian32(bytes, 16) };
    // A record must contain a server, because its flow would otherwise be left without one. A lookup must not.
    if ((*kind == relay_kind::Record) != (server != noServer))
        return std::nullopt;
    return relay_header { *kind, bytes[4], bytes[5], host_id { loadBigEndian32(bytes, 8) },
        service_id { loadBigEndian32(bytes, 12) }, server, loadBigEndian16(bytes, 6) };
}

} // namespace bilberryyard
