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

/// Describes one segment file of the log.
struct log_segment {
    uint64_t sequence = 0;
    /// Size in bytes, without a torn tail.
    uint64_t size = 0;
    /// The highest log index that a record of the segment refers to; 0 if the log was restarted in a later segment.
    log_index lastIndex = 0;
    auto operator<=>(log_segment const&) const = default;
};

std::string segmentFileName(uint64_t sequence);

/// @return The sequence number in the file name, or nullopt if it is not the name of a segment.
std::optional<uint64_t> segmentSequence(std::string_view name);

std::string encodeSegmentHeader(uint64_t sequence, log_index nextIndex);
std::string encodeEntryPayload(log_entry const& entry);
std::string encodeIndexPayload(log_index index);

/// Replays segment files in order, and distinguishes a torn write at the end from other damage.
class log_replay {
public:
    enum class segment_position : uint8_t {
        /// Later segments exist, so it must be intact to its end.
        Earlier,
        /// May end in a torn write.
        Last,
    };

    /// Replays one segment.
    /// @param path For error messages.
    /// @param sequence The sequence number from the file name.
    /// @param content The content of the file.
    /// @param position Whether later segments exist.
    /// @return The segment, whose size excludes a torn tail; DataLoss with path and offset for any other damage.
    absl::StatusOr<log_segment> replay(
        std::string const& path, uint64_t sequence, std::string_view content, segment_position position);

    /// @return The entries of all segments replayed so far, without gaps.
    std::vector<log_entry>& entries() { return m_entries; }
    /// @return Index that the next entry must have.
    log_index nextIndex() const { return m_nextIndex; }
    /// @return Whether the latest segment contains a Restart record, which makes earlier segments obsolete.
    bool hasRestarted() const { return m_hasRestarted; }

private:
    absl::Status apply(storage_record const& record, log_segment& segment);

    std::vector<log_entry> m_entries;
    log_index m_nextIndex = 0;
    bool m_hasRestarted = false;
};

} // namespace bilberryyard
