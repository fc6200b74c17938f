#pragma once

namespace bilberryyard {

/// Safety mechanisms of consensus_member. Production code uses this policy. Tests disable single mechanisms to verify
/// that the checks of the simulated schedules detect their absence.
struct consensus_policy {
    /// A message is sent only after the state that it depends on is durable.
    static constexpr bool holdsMessagesUntilSynced = true;
    /// A leader commits by majority only entries of its own term (Ongaro 2014, section 3.6.2).
    static constexpr bool commitsOwnTermOnly = true;
    /// Reads require a valid lease, and a leader whose lease expires steps down.
    static constexpr bool checksLease = true;
    /// A member grants no vote within the minimum election timeout after a message from a leader or its own start.
    static constexpr bool protectsLease = true;
    /// A leader appends a configuration entry only after the previous one and an entry of its own term are committed.
    static constexpr bool changesOneAtATime = true;
};

} // namespace bilberryyard
