#pragma once

#include <Base/hashing.h>
#include <cstdint>
#include <span>
#include <string_view>

namespace bilberryyard {

/// Magic bytes at the start of a trace file.
inline constexpr std::string_view traceMagic = "BYTRACE1";
/// Size in bytes of the length and the checksum before each record.
inline constexpr size_t traceRecordPrefix = 8;
/// Maximum length of a record in bytes. The longest valid records contain a configuration; a longer length is treated
/// as damage.
inline constexpr uint32_t maximumTraceRecord = 4 * 1024 * 1024;

/// @return Checksum of an encoded record.
inline uint32_t traceChecksum(std::string_view bytes)
{
    auto const* data = reinterpret_cast<uint8_t const*>(bytes.data());
    return static_cast<uint32_t>(hashBytes(std::span(data, bytes.size()), bytes.size()));
}

} // namespace bilberryyard
