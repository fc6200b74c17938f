#pragma once

#include "memory_file_system.h"
#include "schedule_checker.h"
#include <Consensus/consensus_member.h>
#include <Consensus/member_storage.h>

inline constexpr uint64_t scheduleCluster = 77;

/// Small limits, so that short schedules exercise batches, several segments, snapshots and chunks.
inline bilberryyard::consensus_settings scheduleSettings()
{
    using std::chrono::milliseconds;
    bilberryyard::consensus_settings settings;
    settings.heartbeatInterval = milliseconds(50);
    settings.electionTimeoutMinimum = milliseconds(300);
    settings.electionTimeoutMaximum = milliseconds(600);
    settings.lease = milliseconds(200);
    settings.maximumInflightAppends = 3;
    settings.snapshotChunkBytes = 100;
    settings.snapshotInterval = 24;
    settings.trailingEntries = 6;
    settings.maximumPromotionLag = 4;
    return settings;
}

/// A simulated host with its disk, its clock and at most one running member.
template <typename Policy>
struct simulated_host {
    using storage_type = bilberryyard::member_storage<memory_file_system>;

    size_t hostIndex = 0;
    memory_file_system files;
    std::optional<storage_type> storage;
    std::optional<bilberryyard::consensus_member<Policy>> member;
    applied_state state;
    bilberryyard::member_id id;
    /// consensus_settings::maximumAppendBytes. With 1, each append_request contains a single entry.
    uint64_t appendBytes = 300;
    /// Number of times the host was stopped. Events for an earlier incarnation are ignored.
    uint64_t incarnation = 0;
    /// Local time at simulated time 0, in nanoseconds.
    int64_t clockOffset = 0;
    /// Rate of the local clock in thousandths of the rate of simulated time.
    int64_t clockRate = 1000;
    int64_t suspendedUntil = 0;
    int64_t timerAt = INT64_MAX;
    bool diskIsLost = false;
    /// Whether the operator is replacing the member; false again once the new member is a voter.
    bool isBeingReplaced = false;
    /// Identifier of the next member on this host; 0 until the operator has chosen one.
    bilberryyard::member_id nextId;

    bool isRunning() const { return member.has_value(); }

    bilberryyard::monotonic_time localTime(int64_t now) const
    {
        return bilberryyard::monotonic_time(bilberryyard::duration(clockOffset + now / 1000 * clockRate));
    }

    /// @return The simulated time, in nanoseconds, at which the local clock has reached `local`.
    int64_t globalTime(bilberryyard::monotonic_time local) const
    {
        return ((local.time_since_epoch().count() - clockOffset) / clockRate + 1) * 1000;
    }

    /// Opens the data folder and creates the member whose identity it contains.
    absl::Status start(uint64_t seed, int64_t now)
    {
        files.recover();
        auto opened = storage_type::create(files, "data", { 1500 });
        if (!opened.ok())
            return opened.status();
        storage.emplace(*std::move(opened));
        if (!storage->identity())
            return bilberryyard::makeError(
                bilberryyard::error_kind::FailedPrecondition, "the data folder contains no identity");
        auto settings = scheduleSettings();
        settings.maximumAppendBytes = appendBytes;
        auto created = bilberryyard::consensus_member<Policy>::create(
            *storage->identity(), settings, storage->releaseRestoredState(), seed, localTime(now));
        if (!created.ok())
            return created.status();
        member.emplace(*std::move(created));
        state = {};
        timerAt = INT64_MAX;
        suspendedUntil = 0;
        return absl::OkStatus();
    }

    absl::Status initialize(
        bilberryyard::member_id newId, bilberryyard::cluster_configuration const& bootstrapConfiguration)
    {
        files.recover();
        auto opened = storage_type::create(files, "data", { 1500 });
        if (!opened.ok())
            return opened.status();
        id = newId;
        diskIsLost = false;
        return opened->initialize({ scheduleCluster, newId }, bootstrapConfiguration);
    }

    void stop()
    {
        member.reset();
        storage.reset();
        ++incarnation;
    }
};
