#pragma once

#include <Routing/replicated_table.h>
#include <cstdint>
#include <optional>

namespace bilberryyard {

/// What a replica needs from its planner after an event.
enum class replica_need : uint8_t {
    Nothing,
    /// Request a snapshot; the request carries lineage().
    Snapshot,
    /// Offer replicated() to the planner, and request a snapshot afterwards: this host holds changes that
    /// the planner's snapshot lacks.
    Offer,
};

/// The table of one service on a host that follows a planner. It acknowledges a version only while its
/// table equals the planner's, so that a planner that has every acknowledgement knows every host's table.
class table_replica {
public:
    /// @param start The table to start with: an empty one, or a former planner's.
    explicit table_replica(replicated_table start);

    /// Takes the planner's announcement of its current state, part of its heartbeats.
    /// @param planner The planner that this host follows now.
    /// @param version Version of the planner's table.
    /// @param digest Digest of the planner's table at that version.
    /// @return What is needed to hold that table.
    replica_need announced(routed_peer planner, uint64_t version, uint64_t digest);

    /// Takes a published change.
    /// @param planner Who sent it; changes of other hosts than the followed planner are ignored.
    /// @param delta The change.
    /// @return What is needed when earlier changes are missing.
    replica_need received(routed_peer planner, table_delta const& delta);

    /// Takes the planner's whole table.
    /// @param planner Who sent it.
    /// @param snapshot The table.
    /// @return Offer when this host holds changes that the snapshot lacks.
    replica_need received(routed_peer planner, replicated_table const& snapshot);

    /// Voids the acknowledgement, after this host lost synchronisation. The table stays.
    void loseSynchronisation() { m_planner.reset(); }

    bucket_table const& table() const { return m_content.table; }
    table_lineage const& lineage() const { return m_content.lineage; }
    replicated_table const& replicated() const { return m_content; }

    /// @param planner A planner.
    /// @return The version of this planner's table that this host holds; nothing when it holds another.
    std::optional<uint64_t> acknowledged(routed_peer planner) const;

private:
    replicated_table m_content;
    std::optional<routed_peer> m_followed;
    /// The planner whose table this host holds.
    std::optional<routed_peer> m_planner;
    uint64_t m_version = 0;
};

} // namespace bilberryyard
