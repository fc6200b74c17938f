#pragma once

#include <Base/identifiers.h>
#include <array>
#include <compare>
#include <cstdint>

namespace bilberryyard {

/// Whether the server of a flow follows from its bucket alone.
enum class bucket_phase : uint8_t {
    /// base equals current and no explicit entries exist.
    Stable,
    /// Witnesses hold explicit entries for the flows that do not belong to base.
    Tracked,
};

/// Whether a witness can answer for flows without an explicit entry.
enum class witness_state : uint8_t {
    /// Holds every explicit entry of its buckets.
    Complete,
    /// Receives new entries, but is still being sent the older ones.
    Filling,
};

/// An entry host in its role as witness. A restarted host has another incarnation and lost the role.
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

/// The witness groups of a bucket. The first group records new flows; a lookup that finds no entry in
/// one group goes on to the next, and only the last resolves to base.
struct witness_set {
    std::array<witness_group, maximumWitnessGroups> groups {};
    uint8_t count = 0;
    auto operator<=>(witness_set const&) const = default;
};

/// Orders changes of a bucket: by counter, then by the planner that made the change.
struct table_stamp {
    uint64_t counter = 0;
    host_id author;
    auto operator<=>(table_stamp const&) const = default;
};

/// One bucket of a service's table.
struct bucket {
    /// Server of new flows.
    server_id current = noServer;
    /// Server of every flow without an explicit entry.
    server_id base = noServer;
    bucket_phase phase = bucket_phase::Stable;
    /// Index into bucket_table::witnessSets(); meaningful in phase Tracked only.
    uint16_t witnessSet = 0;
    table_stamp stamp;
    auto operator<=>(bucket const&) const = default;
};

} // namespace bilberryyard
