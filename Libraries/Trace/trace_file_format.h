#pragma once

#include <Base/hashing.h>
#include <cstdint>
#include <span>
#include <string_view>

namespace bilberryyard {

/// First bytes of a trace file.
inline constexpr std::string_view traceMagic = "BYTRACE1";
/// Length and checksum in front of each record.
inline constexpr size_t traceRecordPrefix = 8;
/// A longer record is damage; the longest legitimate one is a configuration.
inline constexpr uint32_t maximumTraceRecord = 4 * 1024 * 1024;

/// @param bytes Bytes of a record.
/// @return Its checksum.
inline uint32_t traceChecksum(std::string_view bytes)
{
    auto const* data = reinterpret_cast<uint8_t const*>(bytes.data());
    return static_cast<uint32_t>(hashBytes(std::span(data, bytes.size()), bytes.size()));
}

} // namespace bilberryyard
