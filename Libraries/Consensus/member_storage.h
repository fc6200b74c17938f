#pragma once

#include <Consensus/byte_codec.h>
#include <Consensus/consensus_action.h>
#include <Consensus/consensus_member.h>
#include <Consensus/log_storage.h>
#include <Consensus/snapshot_store.h>

namespace bilberryyard {

struct member_storage_settings {
    /// Size at which a new log segment is started.
    uint64_t segmentBytes = uint64_t { 4 } * 1024 * 1024;
    auto operator<=>(member_storage_settings const&) const = default;
};

/// The data folder of a member: lock, identity, term and vote, log and snapshot. Executes persist_request.
template <file_system FileSystem>
class member_storage {
public:
    /// Opens and locks a data folder, and creates it if it does not exist.
    /// @param files Must outlive the storage.
    /// @return The storage; FailedPrecondition if another process has locked the folder, DataLoss with path and offset
    /// if a file is damaged or missing.
    static absl::StatusOr<member_storage> create(
        FileSystem& files, std::string const& folder, member_storage_settings settings)
    {
        if (auto status = files.createFolder(folder); !status.ok())
            return status;
        auto lock = files.acquireLock(folder + "/lock");
        if (!lock.ok())
            return lock.status();
        if (auto status = removeTemporaryFiles(files, folder); !status.ok())
            return status;
        auto snapshots = snapshot_store<FileSystem>::create(files, folder);
        if (!snapshots.ok())
            return snapshots.status();
        auto const names = files.list(folder);
        if (!names.ok())
            return names.status();
        auto const hasIdentity = std::find(names->begin(), names->end(), identityName) != names->end();
        auto log = log_storage<FileSystem>::create(
            files, folder, settings.segmentBytes, hasIdentity ? log_presence::MustExist : log_presence::MayBeNew);
        if (!log.ok())
            return log.status();
        member_storage storage(files, folder, *std::move(lock), *std::move(snapshots), *std::move(log));
        if (auto status = storage.restore(); !status.ok())
            return status;
        return storage;
    }

    /// @return The stored identity; nullopt if the folder is new or its content was lost. A member that lost its folder
    /// must not reuse its former identifier: it joins as a learner under a new one.
    std::optional<member_identity> const& identity() const { return m_identity; }

    /// Stores the identity in an empty folder.
    /// @param identity An identity that no member has used before.
    /// @param configuration The configuration of a new cluster for one of its bootstrap members; empty for a learner.
    /// @return Ok once it is durable; FailedPrecondition if the folder already has an identity, InvalidArgument if the
    /// identity is 0 or not in a configuration that is not empty.
    absl::Status initialize(member_identity identity, cluster_configuration const& configuration)
    {
        if (m_identity)
            return makeError(error_kind::FailedPrecondition, m_folder + " already has an identity");
        if (identity.cluster == 0 || identity.member == noMember)
            return makeError(error_kind::InvalidArgument, "cluster and member identifiers must not be 0");
        if (!configuration.members().empty() && !configuration.contains(identity.member))
            return makeError(error_kind::InvalidArgument, "the bootstrap configuration does not contain the member");
        auto bootstrapSnapshot = std::make_shared<log_snapshot const>(log_snapshot { 0, 0, configuration, {} });
        if (auto status = m_snapshots.save(std::move(bootstrapSnapshot)); !status.ok())
            return status;
        if (auto status = saveVote({}); !status.ok())
            return status;
        // The identity is written last, so that a folder with an identity is complete.
        auto const payload = byte_writer().u64(identity.cluster).u32(identity.member.value).release();
        if (auto status
            = replaceFile(*m_files, m_folder, identityName, encodeRecord(record_type::Identity, payload, 0));
            !status.ok())
            return status;
        m_identity = identity;
        m_restored.snapshot = m_snapshots.latest();
        return absl::OkStatus();
    }

    /// @return The state from which the member is created, moved out of the storage.
    restored_state releaseRestoredState() { return std::exchange(m_restored, {}); }

    /// Executes a request of a consensus_member. After an error, every later call returns the same error; the folder
    /// must be opened again to determine what is durable.
    /// @return Ok once all changes are durable; otherwise the error to pass to consensus_member::persistFailed().
    absl::Status execute(persist_request const& request)
    {
        if (m_failure.ok())
            m_failure = tryExecute(request);
        return m_failure;
    }

    size_t segmentCount() const { return m_log.segmentCount(); }

private:
    static constexpr char const* identityName = "identity";
    static constexpr char const* voteName = "vote";

    member_storage(FileSystem& files, std::string folder, typename FileSystem::lock lock,
        snapshot_store<FileSystem> snapshots, log_storage<FileSystem> log)
        : m_files(&files)
        , m_folder(std::move(folder))
        , m_lock(std::move(lock))
        , m_snapshots(std::move(snapshots))
        , m_log(std::move(log))
    {
    }

    static absl::Status removeTemporaryFiles(FileSystem& files, std::string const& folder)
    {
        auto const names = files.list(folder);
        if (!names.ok())
            return names.status();
        for (auto const& name : *names) {
            if (!name.ends_with(".temporary"))
                continue;
            auto path = folder;
            path.append("/").append(name);
            if (auto status = files.remove(path); !status.ok())
                return status;
        }
        return absl::OkStatus();
    }

    /// Reads a file that consists of one record.
    /// @return The payload of the record; nullopt if the file does not exist.
    absl::StatusOr<std::optional<std::string>> readRecord(char const* name, record_type type)
    {
        auto const path = m_folder + "/" + name;
        auto const content = m_files->read(path);
        if (!content.ok() && errorKindOf(content.status()) == error_kind::NotFound)
            return std::optional<std::string>();
        if (!content.ok())
            return content.status();
        auto const record = decodeRecord(*content, 0);
        if (!record || record->type != type || record->size != content->size())
            return makeError(error_kind::DataLoss, path + " is damaged at offset 0: no intact record");
        return std::optional(std::string(record->payload));
    }

    absl::Status restore()
    {
        auto const identity = readRecord(identityName, record_type::Identity);
        if (!identity.ok())
            return identity.status();
        auto const vote = readRecord(voteName, record_type::Vote);
        if (!vote.ok())
            return vote.status();
        auto entries = m_log.releaseEntries();
        if (*vote) {
            byte_reader reader(**vote);
            m_restored.vote = { reader.u64(), member_id { reader.u32() } };
        }
        if (!*identity) {
            // An interrupted initialize() leaves only a vote of term 0 and a snapshot at index 0.
            auto const hasState = m_restored.vote.term > 0 || !entries.empty()
                || (m_snapshots.latest() && m_snapshots.latest()->index > 0);
            if (hasState)
                return makeError(error_kind::DataLoss,
                    m_folder + "/" + identityName + " is missing, but the folder contains the state of a member");
            return absl::OkStatus();
        }
        if (!*vote)
            return makeError(error_kind::DataLoss, m_folder + "/" + voteName + " is missing");
        if (!m_snapshots.latest())
            return makeError(error_kind::DataLoss, m_folder + " has no snapshot");
        byte_reader reader(**identity);
        m_identity = member_identity { reader.u64(), member_id { reader.u32() } };
        m_restored.snapshot = m_snapshots.latest();
        m_restored.entries = std::move(entries);
        return completeInterruptedRestart();
    }

    /// Restarts the log after the snapshot, if a crash occurred between saving a received snapshot and restarting the
    /// log.
    absl::Status completeInterruptedRestart()
    {
        auto const& snapshot = *m_restored.snapshot;
        auto& entries = m_restored.entries;
        auto const entryAtSnapshot = std::find_if(
            entries.begin(), entries.end(), [&](auto const& entry) { return entry.index == snapshot.index; });
        auto const logEndsBeforeSnapshot = m_log.lastIndex() < snapshot.index;
        auto const logConflicts = entryAtSnapshot != entries.end() && entryAtSnapshot->term != snapshot.term;
        if (!logEndsBeforeSnapshot && !logConflicts)
            return absl::OkStatus();
        entries.clear();
        return m_log.write({ snapshot.index, std::nullopt, {} });
    }

    absl::Status saveVote(vote_record vote)
    {
        auto const payload = byte_writer().u64(vote.term).u32(vote.votedFor.value).release();
        return replaceFile(*m_files, m_folder, voteName, encodeRecord(record_type::Vote, payload, 0));
    }

    absl::Status tryExecute(persist_request const& request)
    {
        // The snapshot is saved before a log that continues after it, and the term before entries of that term.
        if (request.snapshot) {
            if (auto status = m_snapshots.save(request.snapshot); !status.ok())
                return status;
        }
        if (request.vote) {
            if (auto status = saveVote(*request.vote); !status.ok())
                return status;
        }
        log_batch batch { std::nullopt, request.truncateFrom, request.entries };
        if (request.snapshot && request.continuation == log_continuation::Restart)
            batch.restartAfter = request.snapshot->index;
        if (auto status = m_log.write(batch); !status.ok())
            return status;
        return request.snapshot ? m_log.removeThrough(request.snapshot->index) : absl::OkStatus();
    }

    FileSystem* m_files;
    std::string m_folder;
    typename FileSystem::lock m_lock;
    snapshot_store<FileSystem> m_snapshots;
    log_storage<FileSystem> m_log;
    std::optional<member_identity> m_identity;
    restored_state m_restored;
    absl::Status m_failure;
};

} // namespace bilberryyard
