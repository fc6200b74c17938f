#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bilberryyard {

enum class record_type : uint8_t {
    SegmentHeader = 1,
    Entry = 2,
    /// Entries from an index on are removed.
    Truncation = 3,
    /// The log continues after a snapshot.
    Restart = 4,
    /// Everything before this record was synced when it was written.
    SyncMark = 5,
    Identity = 6,
    Vote = 7,
    Snapshot = 8,
};

/// A record read from a file.
struct storage_record {
    record_type type = record_type::Entry;
    std::string_view payload;
    /// Size of the record with its header.
    uint64_t size = 0;
};

/// Size of the header: length (4), type (1), zero (3), checksum (8).
inline constexpr uint64_t recordHeaderSize = 16;

/// Encodes a record. The checksum covers length, type and payload, and is seeded with the offset, so that
/// a record found elsewhere than where it was written does not verify.
/// @param type The type.
/// @param payload The payload.
/// @param offset Offset in its file.
/// @return The bytes.
std::string encodeRecord(record_type type, std::string_view payload, uint64_t offset);

/// Decodes and verifies a record.
/// @param bytes The whole file.
/// @param offset Where the record starts.
/// @return The record, or nothing when there is no intact record.
std::optional<storage_record> decodeRecord(std::string_view bytes, uint64_t offset);

} // namespace bilberryyard
