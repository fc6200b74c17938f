#pragma once

#include <Base/error_kind.h>
#include <Consensus/file_system.h>
#include <Consensus/log_segment.h>
#include <algorithm>
#include <utility>

namespace bilberryyard {

/// Changes of the log that are written and synced together, applied in the order of the fields.
struct log_batch {
    /// All entries are discarded; the next entry has the index after this one.
    std::optional<log_index> restartAfter;
    /// Entries from this index on are removed.
    std::optional<log_index> truncateFrom;
    std::vector<log_entry> entries;
};

enum class log_presence : uint8_t {
    /// If the folder has no segments, an empty log is created.
    MayBeNew,
    /// A folder without segments is reported as DataLoss.
    MustExist,
};

/// The durable log: segment files of checksummed records in one folder, which the caller has locked.
///
/// After each sync, a sync mark is written after the synced records. A tail with an invalid checksum is cut off if no
/// sync mark follows it, because then it was never acknowledged; any other damage is an error.
template <file_system FileSystem>
class log_storage {
public:
    /// Opens the log in a folder.
    /// @param files Must outlive the storage.
    /// @param folder An existing folder.
    /// @param segmentBytes Size at which a new segment is started.
    /// @param presence Whether a folder without segments is valid.
    /// @return The log; DataLoss with path and offset for damage other than a torn tail.
    static absl::StatusOr<log_storage> create(
        FileSystem& files, std::string folder, uint64_t segmentBytes, log_presence presence)
    {
        log_storage storage(files, std::move(folder), segmentBytes);
        if (auto status = storage.recover(presence); !status.ok())
            return status;
        return storage;
    }

    /// @return The entries read by create(), moved out of the storage.
    std::vector<log_entry> releaseEntries() { return std::exchange(m_entries, {}); }

    /// @return The index of the last entry; 0 for an empty log.
    log_index lastIndex() const { return m_nextIndex - 1; }

    /// Writes and syncs changes. After an error, every later call returns the same error, because the state of the
    /// file is unknown after a failed sync; create() must read it again.
    /// @return Ok once the changes are durable.
    absl::Status write(log_batch const& batch)
    {
        if (m_failure.ok())
            m_failure = tryWrite(batch);
        return m_failure;
    }

    /// Deletes the oldest segments that contain no entries after a snapshot.
    /// @param snapshotIndex Index of a durable snapshot.
    /// @return Ok, or the error of the file system, which later calls return too.
    absl::Status removeThrough(log_index snapshotIndex)
    {
        while (m_failure.ok() && m_segments.size() > 1 && m_segments.front().lastIndex <= snapshotIndex) {
            m_failure = m_files->remove(pathOf(m_segments.front().sequence));
            // Each removal is synced, so that a crash never leaves a gap between the remaining segments.
            if (m_failure.ok())
                m_failure = m_files->syncFolder(m_folder);
            m_segments.erase(m_segments.begin());
        }
        return m_failure;
    }

    size_t segmentCount() const { return m_segments.size(); }

private:
    log_storage(FileSystem& files, std::string folder, uint64_t segmentBytes)
        : m_files(&files)
        , m_folder(std::move(folder))
        , m_segmentBytes(segmentBytes)
    {
    }

    std::string pathOf(uint64_t sequence) const { return m_folder + "/" + segmentFileName(sequence); }

    absl::Status recover(log_presence presence)
    {
        auto const names = m_files->list(m_folder);
        if (!names.ok())
            return names.status();
        std::vector<uint64_t> sequences;
        for (auto const& name : *names) {
            if (auto const sequence = segmentSequence(name))
                sequences.push_back(*sequence);
        }
        if (sequences.empty() && presence == log_presence::MustExist)
            return makeError(error_kind::DataLoss, m_folder + " has lost all segments of its log");
        if (sequences.empty())
            return beginSegment(1);
        std::sort(sequences.begin(), sequences.end());
        log_replay replay;
        for (auto const sequence : sequences) {
            if (!m_segments.empty() && sequence != m_segments.back().sequence + 1)
                return makeError(error_kind::DataLoss, pathOf(m_segments.back().sequence + 1) + " is missing");
            if (auto status = recoverSegment(replay, sequence, sequence == sequences.back()); !status.ok())
                return status;
        }
        m_entries = std::move(replay.entries());
        m_nextIndex = replay.nextIndex();
        // The bytes read may exist only in the page cache and must become durable before they are acknowledged.
        if (auto status = openActiveSegment(); !status.ok())
            return status;
        if (auto status = m_activeFile.front().sync(); !status.ok())
            return status;
        return m_files->syncFolder(m_folder);
    }

    absl::Status recoverSegment(log_replay& replay, uint64_t sequence, bool isLast)
    {
        auto const path = pathOf(sequence);
        auto const content = m_files->read(path);
        if (!content.ok())
            return content.status();
        using position = log_replay::segment_position;
        auto const segment = replay.replay(path, sequence, *content, isLast ? position::Last : position::Earlier);
        if (!segment.ok())
            return segment.status();
        if (replay.hasRestarted())
            markObsolete();
        m_segments.push_back(*segment);
        return segment->size < content->size() ? m_files->truncate(path, segment->size) : absl::OkStatus();
    }

    void markObsolete()
    {
        for (auto& segment : m_segments)
            segment.lastIndex = 0;
    }

    absl::Status openActiveSegment()
    {
        auto file = m_files->openForAppend(pathOf(m_segments.back().sequence));
        if (!file.ok())
            return file.status();
        m_activeFile.clear();
        m_activeFile.push_back(*std::move(file));
        return absl::OkStatus();
    }

    absl::Status beginSegment(uint64_t sequence)
    {
        // Syncs the sync mark at the end too, because only the last segment may end in a torn write.
        if (!m_activeFile.empty()) {
            if (auto status = m_activeFile.front().sync(); !status.ok())
                return status;
        }
        auto const header = encodeRecord(record_type::SegmentHeader, encodeSegmentHeader(sequence, m_nextIndex), 0);
        if (auto status = replaceFile(*m_files, m_folder, segmentFileName(sequence), header); !status.ok())
            return status;
        m_segments.push_back({ sequence, header.size(), 0 });
        return openActiveSegment();
    }

    absl::Status tryWrite(log_batch const& batch)
    {
        if (m_segments.back().size >= m_segmentBytes) {
            if (auto status = beginSegment(m_segments.back().sequence + 1); !status.ok())
                return status;
        }
        auto& segment = m_segments.back();
        std::string bytes;
        auto const add = [&](record_type type, std::string_view payload) {
            bytes += encodeRecord(type, payload, segment.size + bytes.size());
        };
        if (batch.restartAfter) {
            add(record_type::Restart, encodeIndexPayload(*batch.restartAfter));
            markObsolete();
            m_nextIndex = *batch.restartAfter + 1;
            segment.lastIndex = *batch.restartAfter;
        }
        if (batch.truncateFrom && *batch.truncateFrom < m_nextIndex) {
            add(record_type::Truncation, encodeIndexPayload(*batch.truncateFrom));
            m_nextIndex = *batch.truncateFrom;
        }
        for (auto const& entry : batch.entries) {
            if (entry.index != m_nextIndex)
                return makeError(
                    error_kind::Internal, "entry " + std::to_string(entry.index) + " leaves a gap in the log");
            add(record_type::Entry, encodeEntryPayload(entry));
            segment.lastIndex = std::max(segment.lastIndex, m_nextIndex++);
        }
        if (bytes.empty())
            return absl::OkStatus();
        auto& file = m_activeFile.front();
        if (auto status = file.append(bytes); !status.ok())
            return status;
        if (auto status = file.sync(); !status.ok())
            return status;
        segment.size += bytes.size();
        auto const mark = encodeRecord(record_type::SyncMark, {}, segment.size);
        segment.size += mark.size();
        return file.append(mark);
    }

    FileSystem* m_files;
    std::string m_folder;
    uint64_t m_segmentBytes;
    std::vector<log_segment> m_segments;
    /// The last segment, open for appending; empty only during create().
    std::vector<typename FileSystem::file> m_activeFile;
    std::vector<log_entry> m_entries;
    log_index m_nextIndex = 1;
    absl::Status m_failure;
};

} // namespace bilberryyard
