#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bilberryyard {

enum class record_type : uint8_t {
    SegmentHeader = 1,
    Entry = 2,
    /// Entries from the contained index on are removed.
    Truncation = 3,
    /// All entries are discarded; the log continues after the contained snapshot index.
    Restart = 4,
    /// All preceding bytes of the file had been synced when this record was written.
    SyncMark = 5,
    Identity = 6,
    Vote = 7,
    Snapshot = 8,
};

/// A record decoded from a file. The payload refers to the decoded bytes.
struct storage_record {
    record_type type = record_type::Entry;
    std::string_view payload;
    /// Size of the record with its header, in bytes.
    uint64_t size = 0;
};

/// Size of the record header in bytes: payload length (4), type (1), zero (3), checksum (8).
inline constexpr uint64_t recordHeaderSize = 16;

/// Encodes a record. The checksum covers length, type and payload, and is seeded with the offset, so that a record at
/// another offset than the one it was written to has an invalid checksum.
/// @param offset Offset of the record in its file, in bytes.
std::string encodeRecord(record_type type, std::string_view payload, uint64_t offset);

/// Decodes a record and verifies its checksum.
/// @param bytes The content of the file.
/// @param offset Offset of the record in the file, in bytes.
/// @return The record, or nullopt if there is no intact record at the offset.
std::optional<storage_record> decodeRecord(std::string_view bytes, uint64_t offset);

} // namespace bilberryyard
