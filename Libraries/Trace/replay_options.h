#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

namespace bilberryyard {

/// Mechanism that a replay can disable, to show that the expected outcomes depend on it. Each comment describes the
/// behaviour without the mechanism.
enum class replay_mechanism : uint8_t {
    /// Buckets are never tracked: every host forwards a flow to the current server immediately.
    Tracking,
    /// One witness instead of two.
    Witnesses,
    /// A host that lost its connection to the planner never stops using its table.
    SynchronisationCheck,
    /// A SYN is rejected whenever no server admits it, even if its flow may exist.
    RefusalRule,
    /// Draining servers announce that they are serving.
    DrainState,
    /// All services use the table of the first one.
    ServiceSeparation,
    /// Leases of backend servers never expire.
    ServerLease,
    /// A leader serves reads and keeps its role without a lease.
    LeaderLease,
    /// Resent requests are not recognised as duplicates.
    RequestTable,
    /// Changes are accepted regardless of the revision that they are based on.
    BaseCheck,
    /// A host applies any configuration that it receives, even an older revision.
    RevisionOrder,
    /// Members acknowledge entries before they are synced.
    LogSync,
};

/// Names of the mechanisms on the command line and in the files of expected outcomes.
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

/// @return The mechanism with this name, or nothing for an unknown name.
constexpr std::optional<replay_mechanism> replayMechanismOf(std::string_view name)
{
    for (auto const& [mechanism, known] : replayMechanismNames) {
        if (known == name)
            return mechanism;
    }
    return std::nullopt;
}

struct replay_options {
    std::set<replay_mechanism> disabled;

    bool isDisabled(replay_mechanism mechanism) const { return disabled.contains(mechanism); }
};

} // namespace bilberryyard
