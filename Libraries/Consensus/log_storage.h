#pragma once

#include <Base/error_kind.h>
#include <Consensus/file_system.h>
#include <Consensus/log_segment.h>
#include <algorithm>
#include <utility>

namespace bilberryyard {

/// Changes of the log that become durable together.
struct log_batch {
    /// The log is discarded and continues after this index.
    std::optional<log_index> restartAfter;
    /// Entries from here on are removed.
    std::optional<log_index> truncateFrom;
    std::vector<log_entry> entries;
};

enum class log_presence : uint8_t {
    /// A folder without segments gets an empty log.
    MayBeNew,
    /// A folder without segments has lost its log.
    MustExist,
};

/// The durable log: segment files of checksummed records in one folder. The folder's owner holds its lock.
///
/// After each sync a mark is written behind the synced records. A tail that does not verify is cut off when no
/// mark follows it, because then it was never acknowledged; any other damage is an error.
/// @tparam FileSystem The file system.
template <file_system FileSystem>
class log_storage {
public:
    /// Opens the log of a folder.
    /// @param files The file system; outlives the storage.
    /// @param folder An existing folder.
    /// @param segmentBytes Size after which a new segment is begun.
    /// @param presence Whether a folder without segments is acceptable.
    /// @return The log; DataLoss naming file and offset for damage other than a torn tail.
    static absl::StatusOr<log_storage> create(
        FileSystem& files, std::string folder, uint64_t segmentBytes, log_presence presence)
    {
        log_storage storage(files, std::move(folder), segmentBytes);
        if (auto status = storage.recover(presence); !status.ok())
            return status;
        return storage;
    }

    /// @return The entries found by create(), which are no longer held afterwards.
    std::vector<log_entry> takeEntries() { return std::exchange(m_entries, {}); }

    /// @return The highest index, 0 for an empty log.
    log_index lastIndex() const { return m_nextIndex - 1; }

    /// Writes and syncs changes. After an error every later call returns the same error: the state of the
    /// file is unknown after a failed sync, and is established again by create().
    /// @param batch The changes.
    /// @return Ok when they are durable.
    absl::Status write(log_batch const& batch)
    {
        if (m_failure.ok())
            m_failure = tryWrite(batch);
        return m_failure;
    }

    /// Deletes the leading segments that hold nothing after a snapshot.
    /// @param snapshotIndex Index of a durable snapshot.
    /// @return Ok, or the error of the file system, which fails the storage.
    absl::Status removeThrough(log_index snapshotIndex)
    {
        while (m_failure.ok() && m_segments.size() > 1 && m_segments.front().lastIndex <= snapshotIndex) {
            m_failure = m_files->remove(pathOf(m_segments.front().sequence));
            // Synced one by one, so that a crash never leaves a gap between the remaining segments.
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
        // What was read may only be in the page cache; it must be durable before it is acknowledged.
        if (auto status = openActive(); !status.ok())
            return status;
        if (auto status = m_active.front().sync(); !status.ok())
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

    absl::Status openActive()
    {
        auto file = m_files->openForAppend(pathOf(m_segments.back().sequence));
        if (!file.ok())
            return file.status();
        m_active.clear();
        m_active.push_back(*std::move(file));
        return absl::OkStatus();
    }

    absl::Status beginSegment(uint64_t sequence)
    {
        // The mark behind the last record must be durable too, because earlier segments may not be torn.
        if (!m_active.empty()) {
            if (auto status = m_active.front().sync(); !status.ok())
                return status;
        }
        auto const header = encodeRecord(record_type::SegmentHeader, encodeSegmentHeader(sequence, m_nextIndex), 0);
        if (auto status = replaceFile(*m_files, m_folder, segmentFileName(sequence), header); !status.ok())
            return status;
        m_segments.push_back({ sequence, header.size(), 0 });
        return openActive();
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
        auto& file = m_active.front();
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
    /// The open last segment; empty only during create().
    std::vector<typename FileSystem::file> m_active;
    std::vector<log_entry> m_entries;
    log_index m_nextIndex = 1;
    absl::Status m_failure;
};

} // namespace bilberryyard
