#pragma once

#include <Base/identifiers.h>
#include <array>
#include <compare>
#include <cstdint>

namespace bilberryyard {

/// Whether the bucket alone determines the server of a flow.
enum class bucket_phase : uint8_t {
    /// base equals current and no explicit entries exist.
    Stable,
    /// Witnesses store explicit entries for the flows that do not belong to base.
    Tracked,
};

/// Whether a witness without an explicit entry of a flow can conclude that the flow has none.
enum class witness_state : uint8_t {
    /// Stores every explicit entry of its buckets.
    Complete,
    /// Receives new entries, but has not received all of the older ones yet.
    Filling,
};

/// An entry host in its role as witness. A restarted host has another incarnation and has thereby lost the role.
struct witness {
    host_id host;
    uint32_t incarnation = 0;
    witness_state state = witness_state::Complete;
    auto operator<=>(witness const&) const = default;
};

/// Largest number of witnesses in a group.
inline constexpr size_t maximumWitnesses = 3;
/// Largest number of witness groups of a bucket: one for each side of a partition that has healed.
inline constexpr size_t maximumWitnessGroups = 4;

/// An ordered list of witnesses; the first live complete one is the primary.
struct witness_group {
    std::array<witness, maximumWitnesses> witnesses {};
    uint8_t count = 0;
    auto operator<=>(witness_group const&) const = default;
};

/// The witness groups of a bucket. The first group records new flows. A lookup that finds no entry in a group
/// continues with the next one, and resolves to base only after the last.
struct witness_set {
    std::array<witness_group, maximumWitnessGroups> groups {};
    uint8_t count = 0;
    auto operator<=>(witness_set const&) const = default;
};

/// Orders the changes of a bucket by counter, then by the planner that made the change.
struct table_stamp {
    uint64_t counter = 0;
    host_id author;
    auto operator<=>(table_stamp const&) const = default;
};

/// One bucket of a service's table.
struct bucket {
    /// Server that new flows are assigned to.
    server_id current = noServer;
    /// Server of every flow without an explicit entry.
    server_id base = noServer;
    bucket_phase phase = bucket_phase::Stable;
    /// Index into bucket_table::witnessSets(); only meaningful in phase Tracked.
    uint16_t witnessSet = 0;
    table_stamp stamp;
    auto operator<=>(bucket const&) const = default;
};

} // namespace bilberryyard
