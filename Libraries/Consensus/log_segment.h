#pragma once

#include <Consensus/log_entry.h>
#include <Consensus/storage_record.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bilberryyard {

/// What is known about one segment file.
struct log_segment {
    uint64_t sequence = 0;
    uint64_t size = 0;
    /// The highest index that a record of the segment concerns; 0 when the log restarted after it.
    log_index lastIndex = 0;
    auto operator<=>(log_segment const&) const = default;
};

/// @param sequence Sequence of a segment.
/// @return Its file name.
std::string segmentFileName(uint64_t sequence);

/// @param name A file name.
/// @return The sequence when the file is a segment.
std::optional<uint64_t> segmentSequence(std::string_view name);

std::string encodeSegmentHeader(uint64_t sequence, log_index nextIndex);
std::string encodeEntryPayload(log_entry const& entry);
std::string encodeIndexPayload(log_index index);

/// Replays segment files in order, and tells a torn tail from damage.
class log_replay {
public:
    enum class segment_position : uint8_t {
        /// Must be intact to its end.
        Earlier,
        /// May end in a torn write.
        Last,
    };

    /// Replays one segment.
    /// @param path For error messages.
    /// @param sequence The sequence from the file name.
    /// @param content The file.
    /// @param position Whether later segments exist.
    /// @return The segment; its size excludes a torn tail. DataLoss naming file and offset for damage.
    absl::StatusOr<log_segment> replay(
        std::string const& path, uint64_t sequence, std::string_view content, segment_position position);

    /// @return The entries of all segments so far, without gaps.
    std::vector<log_entry>& entries() { return m_entries; }
    /// @return Index of the next entry.
    log_index nextIndex() const { return m_nextIndex; }
    /// @return Whether a Restart record was replayed, which makes earlier segments obsolete.
    bool hasRestarted() const { return m_hasRestarted; }

private:
    absl::Status apply(storage_record const& record, log_segment& segment);

    std::vector<log_entry> m_entries;
    log_index m_nextIndex = 0;
    bool m_hasRestarted = false;
};

} // namespace bilberryyard
