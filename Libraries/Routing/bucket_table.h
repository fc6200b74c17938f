#pragma once

#include <Routing/bucket.h>
#include <cstdint>
#include <vector>

namespace bilberryyard {

/// A change that gives several buckets the same state.
struct bucket_change {
    server_id current = noServer;
    server_id base = noServer;
    bucket_phase phase = bucket_phase::Stable;
    witness_set witnesses;
    table_stamp stamp;
    /// Bucket indices in ascending order.
    std::vector<uint32_t> buckets;
    auto operator<=>(bucket_change const&) const = default;
};

/// Changes of one service's table that a planner publishes together.
struct table_delta {
    service_id service;
    /// Version of the table after the changes. The versions of a planner have no gaps.
    uint64_t version = 0;
    std::vector<bucket_change> changes;
    auto operator<=>(table_delta const&) const = default;
};

/// The bucket table of one service. Immutable: applying changes returns a new table.
class bucket_table {
public:
    /// Creates a table whose buckets have no server yet.
    /// @param bucketCount Must be a power of two.
    bucket_table(service_id service, uint32_t bucketCount);

    service_id service() const { return m_service; }
    uint64_t version() const { return m_version; }
    uint32_t bucketCount() const { return static_cast<uint32_t>(m_buckets.size()); }

    /// @return Index of the bucket of a flow with this hash.
    uint32_t bucketIndex(uint64_t flowHash) const { return static_cast<uint32_t>(flowHash & (m_buckets.size() - 1)); }

    bucket const& at(uint32_t index) const { return m_buckets[index]; }
    witness_set const& witnessesOf(bucket const& value) const { return m_witnessSets[value.witnessSet]; }
    std::vector<witness_set> const& witnessSets() const { return m_witnessSets; }

    /// Applies a planner's changes. A change is ignored for each bucket that has a higher stamp.
    /// @param delta Must belong to the service of this table.
    bucket_table withDelta(table_delta const& delta) const;

    /// Merges the table of the remote side of a healed partition (docs/design.md section 3.3). Each bucket takes
    /// the state with the higher stamp, the winner. The witness groups of the other state are appended to those of
    /// the winner, without witnesses that are complete in the winner already. When the winner has no base, the
    /// bucket takes the base of the other state.
    /// @param other The remote table of the same service and size.
    /// @return The merged table. Merging is commutative and idempotent.
    bucket_table mergedWith(bucket_table const& other) const;

    /// Appends the witness groups of the remote side of a partition to those of the local side, or the reverse.
    /// Witnesses that are complete in the first set already are omitted from the second, because a query to them
    /// covers the entries of both sides. The second set's filling witnesses are removed.
    static witness_set joinWitnesses(witness_set const& first, witness_set const& second);

    /// @return The full table as one delta with the table's version, for a host that joins later.
    table_delta snapshot() const;

    /// @return A hash of the buckets and their witnesses. It does not depend on the version or on the changes that led
    ///     to the contents, so tables with equal contents have equal digests.
    uint64_t digest() const;

    bool operator==(bucket_table const&) const = default;

private:
    void dropUnusedWitnessSets();

    service_id m_service;
    uint64_t m_version = 0;
    std::vector<bucket> m_buckets;
    std::vector<witness_set> m_witnessSets;
};

} // namespace bilberryyard
