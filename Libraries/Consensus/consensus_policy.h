#pragma once

namespace bilberryyard {

/// Safety mechanisms of consensus_member. The product uses this policy; tests switch single mechanisms
/// off to show that the schedule checks notice.
struct consensus_policy {
    /// Messages that depend on state leave only after that state is synced.
    static constexpr bool holdsMessagesUntilSynced = true;
    /// Majorities commit only entries of the leader's own term (Ongaro 2014, section 3.6.2).
    static constexpr bool commitsOwnTermOnly = true;
    /// Reads need a valid lease, and a leader without one steps down.
    static constexpr bool checksLease = true;
    /// A member grants no vote within the minimum election timeout after a leader's message or its start.
    static constexpr bool protectsLease = true;
    /// A configuration entry is appended only when the one before it and an entry of the own term are committed.
    static constexpr bool changesOneAtATime = true;
};

} // namespace bilberryyard
