#pragma once

#include <Consensus/consensus_policy.h>

/// All safety mechanisms enabled, as in production. Each of the other policies disables one.
struct schedule_policy : bilberryyard::consensus_policy {
    /// A member that lost its disk joins as a learner under a new identifier.
    static constexpr bool rejoinsAsLearner = true;
};

struct sends_before_sync : schedule_policy {
    static constexpr bool holdsMessagesUntilSynced = false;
};

struct commits_earlier_terms : schedule_policy {
    static constexpr bool commitsOwnTermOnly = false;
};

struct reads_without_lease : schedule_policy {
    static constexpr bool checksLease = false;
};

struct votes_during_lease : schedule_policy {
    static constexpr bool protectsLease = false;
};

struct changes_concurrently : schedule_policy {
    static constexpr bool changesOneAtATime = false;
};

struct reuses_identity_after_disk_loss : schedule_policy {
    static constexpr bool rejoinsAsLearner = false;
};
