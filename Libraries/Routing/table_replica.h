#pragma once

#include <Routing/replicated_table.h>
#include <cstdint>
#include <optional>

namespace bilberryyard {

/// The action that a replica needs after it has handled a message from its planner.
enum class replica_need : uint8_t {
    Nothing,
    /// Request a snapshot; the request carries lineage().
    Snapshot,
    /// Offer replicated() to the planner and request a snapshot afterwards, because this host has changes that the
    /// planner's snapshot lacks.
    Offer,
};

/// The table of one service on a host that follows a planner. It acknowledges a version only while its table equals
/// the planner's table of that version, so a planner that has all acknowledgements knows the table of every host.
class table_replica {
public:
    /// @param start The initial table: an empty one, or the table that this host had as planner.
    explicit table_replica(replicated_table start);

    /// Handles the planner's announcement of its current table, which is part of its heartbeats.
    /// @param planner The sender. This host follows it from now on.
    /// @param version Version of the planner's table.
    /// @param digest Digest of the planner's table at that version.
    /// @return Snapshot when this host does not have that table.
    replica_need announced(routed_peer planner, uint64_t version, uint64_t digest);

    /// Applies a published change.
    /// @param planner The sender. Changes from other hosts than the followed planner are ignored.
    /// @return Snapshot when earlier changes are missing.
    replica_need received(routed_peer planner, table_delta const& delta);

    /// Replaces the table by the planner's full table.
    /// @param planner The sender. Snapshots from other hosts than the followed planner are ignored.
    /// @return Offer when this host has changes that the snapshot lacks; the table is then kept.
    replica_need received(routed_peer planner, replicated_table const& snapshot);

    /// Revokes the acknowledgement after this host has lost synchronisation. The table is kept.
    void loseSynchronisation() { m_planner.reset(); }

    bucket_table const& table() const { return m_content.table; }
    table_lineage const& lineage() const { return m_content.lineage; }
    replicated_table const& replicated() const { return m_content; }

    /// @return The version of the planner's table that this host has; nullopt when it has another table.
    std::optional<uint64_t> acknowledged(routed_peer planner) const;

private:
    replicated_table m_content;
    std::optional<routed_peer> m_followed;
    /// The planner whose table this host has, at m_version.
    std::optional<routed_peer> m_planner;
    uint64_t m_version = 0;
};

} // namespace bilberryyard
