#include <Packet/ip_header.h>

#include <Packet/byte_order.h>
#include <Packet/checksum.h>
#include <algorithm>
#include <optional>

namespace bilberryyard {

namespace {

    // IPv4 option types, RFC 791 section 3.1.
    constexpr uint8_t optionEnd = 0;
    constexpr uint8_t optionNoOperation = 1;

    // IPv6 extension headers, RFC 8200 section 4.
    constexpr uint8_t hopByHopHeader = 0;
    constexpr uint8_t routingHeader = 43;
    constexpr uint8_t fragmentHeader = 44;
    constexpr uint8_t destinationOptionsHeader = 60;
    constexpr size_t extensionHeaderUnitSize = 8;

    constexpr uint16_t ipv4DontFragment = 0x4000;
    constexpr uint16_t ipv4MoreFragments = 0x2000;
    constexpr uint16_t ipv4FragmentOffset = 0x1fff;
    constexpr uint16_t ipv6FragmentOffset = 0xfff8;

    // Compares the first 12 bytes of the address with the IPv4-mapped prefix, as two words.
    bool isMappedAddress(std::span<uint8_t const> bytes, size_t offset) noexcept
    {
        uint64_t high = 0;
        uint32_t middle = 0;
        std::memcpy(&high, bytes.data() + offset, sizeof(high));
        std::memcpy(&middle, bytes.data() + offset + sizeof(high), sizeof(middle));
        return high == 0 && middle == 0xffff0000U;
    }

    std::optional<drop_reason> checkIpv4Options(std::span<uint8_t const> options) noexcept
    {
        int count = 0;
        while (!options.empty() && options[0] != optionEnd) {
            if (options[0] == optionNoOperation) {
                options = options.subspan(1);
                continue;
            }
            if (options.size() < 2 || options[1] < 2 || options[1] > options.size())
                return drop_reason::BadLength;
            if (++count > maximumExtensionHeaders)
                return drop_reason::TooManyExtensionHeaders;
            options = options.subspan(options[1]);
        }
        return std::nullopt;
    }

    std::optional<drop_reason> checkIpv4Packet(std::span<uint8_t const> bytes, size_t headerSize) noexcept
    {
        size_t const totalLength = loadBigEndian16(bytes, 2);
        if (totalLength < headerSize)
            return drop_reason::BadLength;
        if (totalLength > bytes.size())
            return drop_reason::Truncated;
        if (totalLength < bytes.size())
            return drop_reason::BadLength;
        if (internetChecksum(bytes.first(headerSize)) != 0)
            return drop_reason::BadChecksum;
        if (bytes[8] == 0)
            return drop_reason::HopLimitZero;
        if ((loadBigEndian16(bytes, 6) & (ipv4MoreFragments | ipv4FragmentOffset)) != 0)
            return drop_reason::Fragment;
        return std::nullopt;
    }

    ip_header_result parseIpv4(std::span<uint8_t const> bytes, ip_header_scope scope) noexcept
    {
        if (bytes.size() < ipv4HeaderSize)
            return drop_reason::Truncated;
        size_t const headerSize = (bytes[0] & 0x0f) * size_t { 4 };
        if (headerSize < ipv4HeaderSize)
            return drop_reason::BadLength;
        if (headerSize > bytes.size())
            return drop_reason::Truncated;
        if (scope == ip_header_scope::Packet) {
            if (auto const reason = checkIpv4Packet(bytes, headerSize))
                return *reason;
        } else if ((loadBigEndian16(bytes, 6) & ipv4FragmentOffset) != 0) {
            return drop_reason::Fragment;
        }
        if (headerSize > ipv4HeaderSize) {
            if (auto const reason = checkIpv4Options(bytes.first(headerSize).subspan(ipv4HeaderSize)))
                return *reason;
        }
        return ip_header { 4, bytes[9], static_cast<uint32_t>(headerSize) };
    }

    std::optional<drop_reason> checkIpv6Packet(std::span<uint8_t const> bytes) noexcept
    {
        size_t const totalLength = ipv6HeaderSize + loadBigEndian16(bytes, 4);
        if (totalLength > bytes.size())
            return drop_reason::Truncated;
        if (totalLength < bytes.size())
            return drop_reason::BadLength;
        if (bytes[7] == 0)
            return drop_reason::HopLimitZero;
        return std::nullopt;
    }

    bool isExtensionHeader(uint8_t protocol) noexcept
    {
        return protocol == hopByHopHeader || protocol == routingHeader || protocol == fragmentHeader
            || protocol == destinationOptionsHeader;
    }

    // Checks one extension header. The caller ensures that it has at least 8 bytes.
    std::optional<drop_reason> checkExtensionHeader(
        uint8_t type, std::span<uint8_t const> header, ip_header_scope scope) noexcept
    {
        if (type == fragmentHeader) {
            bool const hasPorts = (loadBigEndian16(header, 2) & ipv6FragmentOffset) == 0;
            return scope == ip_header_scope::Quoted && hasPorts ? std::nullopt : std::optional(drop_reason::Fragment);
        }
        // RFC 5095 section 3.
        if (type == routingHeader && header[2] == 0)
            return drop_reason::RoutingHeaderType0;
        return std::nullopt;
    }

    std::optional<drop_reason> skipExtensionHeaders(
        std::span<uint8_t const> bytes, ip_header_scope scope, ip_header& header) noexcept
    {
        size_t offset = ipv6HeaderSize;
        uint8_t type = bytes[6];
        for (int count = 0; isExtensionHeader(type); ++count) {
            if (count == maximumExtensionHeaders)
                return drop_reason::TooManyExtensionHeaders;
            // Hop-by-hop options may only come first (RFC 8200 section 4.1).
            if (type == hopByHopHeader && count != 0)
                return drop_reason::UnknownProtocol;
            auto const rest = bytes.subspan(offset);
            if (rest.size() < extensionHeaderUnitSize)
                return drop_reason::Truncated;
            if (auto const reason = checkExtensionHeader(type, rest, scope))
                return reason;
            // The second byte of a fragment header is reserved and not a length.
            size_t const units = type == fragmentHeader ? 1 : size_t { rest[1] } + 1;
            if (units * extensionHeaderUnitSize > rest.size())
                return drop_reason::Truncated;
            type = rest[0];
            offset += units * extensionHeaderUnitSize;
        }
        header.protocol = type;
        header.payloadOffset = static_cast<uint32_t>(offset);
        return std::nullopt;
    }

    ip_header_result parseIpv6(std::span<uint8_t const> bytes, ip_header_scope scope) noexcept
    {
        if (bytes.size() < ipv6HeaderSize)
            return drop_reason::Truncated;
        if (scope == ip_header_scope::Packet) {
            if (auto const reason = checkIpv6Packet(bytes))
                return *reason;
        }
        // IPv4-mapped addresses must not appear on the wire (RFC 4942 section 2.2). With one, the flow key would equal
        // that of an IPv4 flow.
        if (isMappedAddress(bytes, 8) || isMappedAddress(bytes, 24))
            return drop_reason::BadVersion;
        ip_header header { .version = 6 };
        if (auto const reason = skipExtensionHeaders(bytes, scope, header))
            return *reason;
        return header;
    }

} // namespace

ip_header_result parseIpHeader(std::span<uint8_t const> bytes, ip_header_scope scope) noexcept
{
    if (bytes.empty())
        return drop_reason::Truncated;
    switch (bytes[0] >> 4) {
    case 4:
        return parseIpv4(bytes, scope);
    case 6:
        return parseIpv6(bytes, scope);
    default:
        return drop_reason::BadVersion;
    }
}

size_t writeIpHeader(ip_header_fields const& fields, size_t payloadLength, std::span<uint8_t> output) noexcept
{
    if (fields.source.isIpv4()) {
        std::fill_n(output.begin(), ipv4HeaderSize, 0);
        output[0] = 0x45;
        storeBigEndian16(output, 2, static_cast<uint16_t>(ipv4HeaderSize + payloadLength));
        // An atomic datagram needs no identification (RFC 6864 section 4.1).
        storeBigEndian16(output, 6, ipv4DontFragment);
        output[8] = fields.hopLimit;
        output[9] = fields.protocol;
        std::copy_n(fields.source.bytes.begin() + 12, 4, output.begin() + 12);
        std::copy_n(fields.destination.bytes.begin() + 12, 4, output.begin() + 16);
        storeBigEndian16(output, 10, internetChecksum(output.first(ipv4HeaderSize)));
        return ipv4HeaderSize;
    }
    std::fill_n(output.begin(), ipv6HeaderSize, 0);
    output[0] = 0x60;
    storeBigEndian16(output, 4, static_cast<uint16_t>(payloadLength));
    output[6] = fields.protocol;
    output[7] = fields.hopLimit;
    std::copy_n(fields.source.bytes.begin(), 16, output.begin() + 8);
    std::copy_n(fields.destination.bytes.begin(), 16, output.begin() + 24);
    return ipv6HeaderSize;
}

} // namespace bilberryyard
