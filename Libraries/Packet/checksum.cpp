#include <Packet/checksum.h>

#include <array>
#include <cstring>

namespace bilberryyard {

namespace {

    // The one's complement sum does not depend on the byte order, so words are added in memory order and only the
    // result is swapped (RFC 1071 section 2).
    uint64_t sumWords(std::span<uint8_t const> bytes, uint64_t sum) noexcept
    {
        while (bytes.size() >= sizeof(uint32_t)) {
            uint32_t word = 0;
            std::memcpy(&word, bytes.data(), sizeof(word));
            sum += word;
            bytes = bytes.subspan(sizeof(word));
        }
        if (!bytes.empty()) {
            uint32_t word = 0;
            std::memcpy(&word, bytes.data(), bytes.size());
            sum += word;
        }
        return sum;
    }

    uint16_t foldSum(uint64_t sum) noexcept
    {
        // Two steps reduce 64 bits to 32 without a carry, two more reduce these to 16.
        sum = (sum & 0xffffffff) + (sum >> 32);
        sum = (sum & 0xffffffff) + (sum >> 32);
        sum = (sum & 0xffff) + (sum >> 16);
        sum = (sum & 0xffff) + (sum >> 16);
        return __builtin_bswap16(static_cast<uint16_t>(~sum));
    }

} // namespace

uint16_t internetChecksum(std::span<uint8_t const> bytes) noexcept { return foldSum(sumWords(bytes, 0)); }

uint16_t transportChecksum(ip_address const& source, ip_address const& destination, uint8_t protocol,
    std::span<uint8_t const> segment) noexcept
{
    // The pseudo-headers of both families consist of addresses, length and protocol. Only the size of the addresses
    // affects the sum.
    size_t const addressOffset = source.isIpv4() ? 12 : 0;
    auto const length = static_cast<uint32_t>(segment.size());
    std::array<uint8_t, 8> const trailer { static_cast<uint8_t>(length >> 24), static_cast<uint8_t>(length >> 16),
        static_cast<uint8_t>(length >> 8), static_cast<uint8_t>(length), 0, 0, 0, protocol };
    uint64_t sum = sumWords(std::span(source.bytes).subspan(addressOffset), 0);
    sum = sumWords(std::span(destination.bytes).subspan(addressOffset), sum);
    sum = sumWords(trailer, sum);
    return foldSum(sumWords(segment, sum));
}

} // namespace bilberryyard
