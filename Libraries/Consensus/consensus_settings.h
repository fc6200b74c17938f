#pragma once

#include <Base/monotonic_time.h>
#include <absl/status/status.h>
#include <compare>
#include <cstdint>

namespace bilberryyard {

enum class learner_promotion : uint8_t {
    /// The leader promotes a learner as soon as it has caught up.
    Automatic,
    /// A learner is promoted by changeMembership() only, which still refuses one that lags.
    OnRequest,
};

/// Timing and bounds of a member.
struct consensus_settings {
    duration heartbeatInterval = std::chrono::milliseconds(100);
    /// A member that heard from a leader within the minimum grants no vote. With the maximum, a lost
    /// leader is replaced within 3 s even after one split vote.
    duration electionTimeoutMinimum = std::chrono::milliseconds(800);
    duration electionTimeoutMaximum = std::chrono::milliseconds(1400);
    /// Shorter than the minimum election timeout by the rate error of two clocks.
    duration lease = std::chrono::milliseconds(600);
    /// Entries of one append_request; a single larger entry is sent alone.
    uint64_t maximumAppendBytes = uint64_t { 64 } * 1024;
    uint64_t maximumInflightAppends = 8;
    uint64_t snapshotChunkBytes = uint64_t { 32 } * 1024;
    uint64_t maximumPayloadBytes = uint64_t { 1024 } * 1024;
    uint64_t maximumPendingProposals = 1024;
    /// Applied entries after which a snapshot is requested.
    uint64_t snapshotInterval = 4096;
    /// Entries kept in memory behind a snapshot, so that a briefly absent member needs no snapshot.
    uint64_t trailingEntries = 512;
    /// A learner that lacks more entries than this is not promoted.
    uint64_t promotionLag = 16;
    learner_promotion promotion = learner_promotion::Automatic;

    /// @return The settings of a deployment whose hosts are a few milliseconds apart: a leader is replaced within
    /// 2.2 s even after an election that nobody won, and within 3 s after most second ones.
    static consensus_settings forDeployment();

    /// @return Ok, or InvalidArgument naming the setting that is out of range.
    absl::Status validate() const;

    auto operator<=>(consensus_settings const&) const = default;
};

} // namespace bilberryyard
