#pragma once

#include <Routing/bucket_table.h>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>

namespace bilberryyard {

/// Estimates the encoded size of a delta in bytes. The encoding has a dictionary of stamps, servers and witness sets,
/// and per change three dictionary indices, the phase and the bucket indices, either as gaps or as runs, whichever
/// is shorter. Integers are base-128 varints.
uint64_t estimateDeltaBytes(table_delta const& delta);

/// Collects bucket states into a delta and tracks the encoded size, so that a planner can stop at its budget. Buckets
/// with equal states share one change.
class delta_builder {
public:
    /// @param version Version of the table after the changes.
    /// @param stamp The stamp that every change gets.
    delta_builder(service_id service, uint64_t version, table_stamp stamp);

    /// @param value The new state of a bucket; its stamp and witness set index are ignored.
    void add(bucket const& value, witness_set const& witnesses, uint32_t index);

    /// @return The bytes by which add() would increase bytes().
    uint64_t costOf(bucket const& value, witness_set const& witnesses, uint32_t index) const;

    /// @return An estimate of the encoded size so far, which counts two bytes for each run of buckets;
    ///     estimateDeltaBytes() is more precise for the finished delta.
    uint64_t bytes() const { return m_bytes; }

    bool isEmpty() const { return m_changes.empty(); }

    table_delta build() const;

private:
    using change_key = std::tuple<server_id, server_id, bucket_phase, witness_set>;

    service_id m_service;
    uint64_t m_version;
    table_stamp m_stamp;
    std::map<change_key, std::set<uint32_t>> m_changes;
    std::set<server_id> m_servers;
    std::set<witness_set> m_sets;
    uint64_t m_bytes;
};

} // namespace bilberryyard
