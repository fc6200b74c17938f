#pragma once

#include <Routing/bucket.h>
#include <cstdint>
#include <vector>

namespace bilberryyard {

/// A change of several buckets to the same state.
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

/// Changes of one service's table, as a planner publishes them.
struct table_delta {
    service_id service;
    /// Version of the table after the changes; the planner numbers its versions without gaps.
    uint64_t version = 0;
    std::vector<bucket_change> changes;
    auto operator<=>(table_delta const&) const = default;
};

/// The bucket table of one service: an immutable value; changes give a new table.
class bucket_table {
public:
    /// A table whose buckets have no server yet.
    /// @param service The service.
    /// @param bucketCount Number of buckets, a power of two.
    bucket_table(service_id service, uint32_t bucketCount);

    service_id service() const { return m_service; }
    uint64_t version() const { return m_version; }
    uint32_t bucketCount() const { return static_cast<uint32_t>(m_buckets.size()); }

    /// @param flowHash Hash of a flow key.
    /// @return Index of the flow's bucket.
    uint32_t bucketIndex(uint64_t flowHash) const { return static_cast<uint32_t>(flowHash & (m_buckets.size() - 1)); }

    bucket const& at(uint32_t index) const { return m_buckets[index]; }
    witness_set const& witnessesOf(bucket const& value) const { return m_witnessSets[value.witnessSet]; }
    std::vector<witness_set> const& witnessSets() const { return m_witnessSets; }

    /// Applies a planner's changes. Per bucket a change with a lower stamp than the bucket's is ignored.
    /// @param delta Changes of this service's table.
    /// @return The new table.
    bucket_table withDelta(table_delta const& delta) const;

    /// Merges the table of the other side of a healed partition (docs/design.md section 3.3). Per bucket
    /// the higher stamp decides; the other side's witness groups follow the winner's, without witnesses
    /// that the winner lists as complete already. A bucket that one side assigned without any base takes
    /// the base of the other side.
    /// @param other The other side's table of the same service and size.
    /// @return The merged table; merging is commutative and idempotent.
    bucket_table mergedWith(bucket_table const& other) const;

    /// Appends the witness groups of another side. A witness that is complete in the first set already is
    /// left out, because its flow table holds its entries of both sides and asking it twice is useless.
    /// Filling roles of the second set end.
    /// @param first The groups that come first.
    /// @param second The groups to append.
    /// @return The joined set.
    static witness_set joinWitnesses(witness_set const& first, witness_set const& second);

    /// @return The whole table as one delta with the table's version, for a host that joins late.
    table_delta snapshot() const;

    /// @return A hash of the contents without the version, equal on hosts whose buckets and witnesses are
    ///     equal, however they got there.
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
