#pragma once

#include <Routing/bucket_table.h>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>

namespace bilberryyard {

/// Estimates the encoded size of a delta: stamps, servers and witness sets once each in a dictionary, then
/// per change three dictionary indices, the phase and the bucket indices, either as gaps or as runs,
/// whichever is shorter. Integers are base-128 varints.
/// @param delta The delta.
/// @return Bytes.
uint64_t estimateDeltaBytes(table_delta const& delta);

/// Collects bucket states into a delta and knows its size at any time, so that a planner can stop at
/// its budget. Equal states share one change.
class delta_builder {
public:
    /// @param service The service.
    /// @param version Version of the table after the changes.
    /// @param stamp Stamp of every change.
    delta_builder(service_id service, uint64_t version, table_stamp stamp);

    /// @param value The new state of a bucket; its stamp and witness set index are ignored.
    /// @param witnesses The bucket's witnesses.
    /// @param index The bucket.
    void add(bucket const& value, witness_set const& witnesses, uint32_t index);

    /// @param value The new state of a bucket.
    /// @param witnesses The bucket's witnesses.
    /// @param index The bucket.
    /// @return The bytes by which add() would increase bytes().
    uint64_t costOf(bucket const& value, witness_set const& witnesses, uint32_t index) const;

    /// @return An estimate of the encoded size so far. It counts two bytes for each run of buckets, which the
    /// estimate for the finished delta replaces.
    uint64_t bytes() const { return m_bytes; }

    bool isEmpty() const { return m_changes.empty(); }

    /// @return The delta.
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
