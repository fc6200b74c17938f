#pragma once

#include <bit>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <span>

namespace bilberryyard {

static_assert(std::endian::native == std::endian::little, "the conversions below swap bytes");

/// @param bytes Must contain at least offset + 2 bytes; not checked.
/// @return The 16-bit field in host byte order.
inline uint16_t loadBigEndian16(std::span<uint8_t const> bytes, size_t offset)
{
    uint16_t value = 0;
    std::memcpy(&value, bytes.data() + offset, sizeof(value));
    return __builtin_bswap16(value);
}

/// @param bytes Must contain at least offset + 4 bytes; not checked.
/// @return The 32-bit field in host byte order.
inline uint32_t loadBigEndian32(std::span<uint8_t const> bytes, size_t offset)
{
    uint32_t value = 0;
    std::memcpy(&value, bytes.data() + offset, sizeof(value));
    return __builtin_bswap32(value);
}

/// @param bytes Must contain at least offset + 2 bytes; not checked.
/// @param value In host byte order.
inline void storeBigEndian16(std::span<uint8_t> bytes, size_t offset, uint16_t value)
{
    auto const swapped = __builtin_bswap16(value);
    std::memcpy(bytes.data() + offset, &swapped, sizeof(swapped));
}

/// @param bytes Must contain at least offset + 4 bytes; not checked.
/// @param value In host byte order.
inline void storeBigEndian32(std::span<uint8_t> bytes, size_t offset, uint32_t value)
{
    auto const swapped = __builtin_bswap32(value);
    std::memcpy(bytes.data() + offset, &swapped, sizeof(swapped));
}

} // namespace bilberryyard
