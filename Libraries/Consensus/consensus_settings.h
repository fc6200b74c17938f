#pragma once

#include <Base/monotonic_time.h>
#include <absl/status/status.h>
#include <compare>
#include <cstdint>

namespace bilberryyard {

enum class learner_promotion : uint8_t {
    /// The leader promotes a learner as soon as it has caught up.
    Automatic,
    /// Only changeMembership() promotes a learner; it rejects one that has not caught up.
    OnRequest,
};

/// Timeouts and limits of a member.
struct consensus_settings {
    duration heartbeatInterval = std::chrono::milliseconds(100);
    /// A member that received a message from a leader within this time grants no vote.
    duration electionTimeoutMinimum = std::chrono::milliseconds(800);
    /// With this maximum, a failed leader is replaced within 3 s even after one split vote.
    duration electionTimeoutMaximum = std::chrono::milliseconds(1400);
    /// How long a leader may serve reads after it sent requests that a majority acknowledged. Shorter than
    /// electionTimeoutMinimum by more than the rate difference of two clocks.
    duration lease = std::chrono::milliseconds(600);
    /// Maximum size of the entries of one append_request; a larger entry is sent on its own.
    uint64_t maximumAppendBytes = uint64_t { 64 } * 1024;
    uint64_t maximumInflightAppends = 8;
    uint64_t snapshotChunkBytes = uint64_t { 32 } * 1024;
    uint64_t maximumPayloadBytes = uint64_t { 1024 } * 1024;
    uint64_t maximumPendingProposals = 1024;
    /// Number of applied entries after which a snapshot is requested.
    uint64_t snapshotInterval = 4096;
    /// Number of entries before a snapshot that stay in memory, so that a member that was unreachable for a short time
    /// can catch up without the snapshot.
    uint64_t trailingEntries = 512;
    /// Maximum number of entries that a learner may lack to be promoted.
    uint64_t maximumPromotionLag = 16;
    learner_promotion promotion = learner_promotion::Automatic;

    /// @return Settings for hosts with a network delay of a few milliseconds. A failed leader is replaced within 2.2 s
    /// even if the first election has no winner, and in most cases within 3 s if the second has none either.
    static consensus_settings forDeployment();

    /// @return Ok, or InvalidArgument with the name of the setting that is out of range.
    absl::Status validate() const;

    auto operator<=>(consensus_settings const&) const = default;
};

} // namespace bilberryyard
