#include <Packet/gue_encapsulation.h>

#include <Packet/byte_order.h>

namespace bilberryyard {

namespace {

    // First byte: variant in the two high bits, then the control flag, then the header length in 32-bit words without
    // the base header. All are 0 for a data message without optional fields.
    constexpr uint8_t variantAndControl = 0xe0;
    constexpr uint8_t headerLength = 0x1f;

    // IP protocol numbers of encapsulated IPv4 and IPv6 (IANA).
    constexpr uint8_t ipv4Protocol = 4;
    constexpr uint8_t ipv6Protocol = 41;

    std::optional<uint8_t> protocolOf(std::span<uint8_t const> packet) noexcept
    {
        if (packet.empty())
            return std::nullopt;
        switch (packet[0] >> 4) {
        case 4:
            return ipv4Protocol;
        case 6:
            return ipv6Protocol;
        default:
            return std::nullopt;
        }
    }

} // namespace

std::optional<std::span<uint8_t>> encapsulateGue(std::span<uint8_t> buffer, size_t innerOffset) noexcept
{
    if (innerOffset < gueHeaderSize || innerOffset > buffer.size())
        return std::nullopt;
    auto const protocol = protocolOf(buffer.subspan(innerOffset));
    if (!protocol)
        return std::nullopt;
    auto const result = buffer.subspan(innerOffset - gueHeaderSize);
    result[0] = 0;
    result[1] = *protocol;
    storeBigEndian16(result, 2, 0);
    return result;
}

std::optional<std::span<uint8_t const>> decapsulateGue(std::span<uint8_t const> datagram) noexcept
{
    if (datagram.size() < gueHeaderSize || (datagram[0] & variantAndControl) != 0)
        return std::nullopt;
    if (loadBigEndian16(datagram, 2) != 0)
        return std::nullopt;
    size_t const headerSize = gueHeaderSize + (datagram[0] & headerLength) * size_t { 4 };
    if (headerSize > datagram.size())
        return std::nullopt;
    auto const inner = datagram.subspan(headerSize);
    if (protocolOf(inner) != datagram[1])
        return std::nullopt;
    return inner;
}

} // namespace bilberryyard
