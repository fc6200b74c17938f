#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

namespace bilberryyard {

/// A mechanism that a replay can switch off, to show that the stated outcomes depend on it.
enum class replay_mechanism : uint8_t {
    /// Buckets are never tracked: every host sends a flow to the current server at once.
    Tracking,
    /// One witness in place of two.
    Witnesses,
    /// A host that lost the planner trusts its table for ever.
    SynchronisationCheck,
    /// Rejections are sent whenever no server admits a SYN, also when the flow may exist.
    RefusalRule,
    /// Draining servers announce that they serve.
    DrainState,
    /// All services use the table of the first one.
    ServiceSeparation,
    /// Leases of backend servers never end.
    ServerLease,
    /// A leader serves reads and keeps its role without a lease.
    LeaderLease,
    /// Resends are not recognised.
    RequestTable,
    /// Changes are accepted whatever revision they are based on.
    BaseCheck,
    /// A host takes any configuration that it receives.
    RevisionOrder,
    /// Members acknowledge entries before they are synced.
    LogSync,
};

/// Names of the mechanisms on the command line.
inline constexpr std::array<std::pair<replay_mechanism, std::string_view>, 12> replayMechanismNames { {
    { replay_mechanism::Tracking, "tracking" },
    { replay_mechanism::Witnesses, "witnesses" },
    { replay_mechanism::SynchronisationCheck, "synchronisation-check" },
    { replay_mechanism::RefusalRule, "refusal-rule" },
    { replay_mechanism::DrainState, "drain-state" },
    { replay_mechanism::ServiceSeparation, "service-separation" },
    { replay_mechanism::ServerLease, "server-lease" },
    { replay_mechanism::LeaderLease, "leader-lease" },
    { replay_mechanism::RequestTable, "request-table" },
    { replay_mechanism::BaseCheck, "base-check" },
    { replay_mechanism::RevisionOrder, "revision-order" },
    { replay_mechanism::LogSync, "log-sync" },
} };

/// @param name Name of a mechanism.
/// @return The mechanism; nothing for an unknown name.
constexpr std::optional<replay_mechanism> replayMechanismOf(std::string_view name)
{
    for (auto const& [mechanism, known] : replayMechanismNames) {
        if (known == name)
            return mechanism;
    }
    return std::nullopt;
}

/// How a trace is replayed.
struct replay_options {
    std::set<replay_mechanism> absent;

    bool lacks(replay_mechanism mechanism) const { return absent.contains(mechanism); }
};

} // namespace bilberryyard
