#pragma once

#include <Routing/flow_segment.h>
#include <algorithm>
#include <cstddef>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bilberryyard {

/// Explicit entries of flows in tracked buckets. Split into segments by the low bits of the hash, which also select
/// the bucket, so that growth and removal touch one segment at a time and the entries of a bucket are close together.
class flow_table {
public:
    /// @param maximumFlows Largest number of entries.
    explicit flow_table(size_t maximumFlows);

    /// @return The entry, or null. Valid until the next change of the table.
    flow_entry* find(flow_id const& id) { return segmentOf(id.hash).find(id); }
    flow_entry const* find(flow_id const& id) const { return const_cast<flow_table*>(this)->find(id); }

    /// Adds or replaces the entry of a flow. When the table is full, evicts the oldest handshake of the segment that
    /// is at least a second old, so that a SYN flood cannot exclude flows that complete their handshake.
    /// @return The stored entry, or null when the table is full.
    flow_entry* put(flow_entry const& entry, flow_tick now);

    /// Changes the server of an entry.
    /// @param entry Must be an entry of this table.
    void setServer(flow_entry& entry, server_id server);

    /// Removes the entry of a flow, if there is one.
    void erase(flow_id const& id);

    /// Visits a part of the entries and removes those that a predicate selects. Each call continues where the
    /// previous one stopped and wraps around at the end of the table.
    /// @param entries Stops at the end of the segment in which this many entries have been visited.
    /// @param shouldErase Called with each entry visited.
    /// @return Number of entries removed.
    template <typename Predicate>
    size_t sweep(size_t entries, Predicate shouldErase)
    {
        size_t removed = 0;
        size_t visited = 0;
        for (size_t count = 0; count < m_segments.size() && visited < entries; ++count) {
            auto& segment = m_segments[m_sweepPosition];
            visited += segment.size() + 1;
            removed += eraseIf(segment, shouldErase);
            m_sweepPosition = (m_sweepPosition + 1) % m_segments.size();
        }
        return removed;
    }

    /// Removes the entries of a bucket.
    /// @param service Low 16 bits of the service.
    /// @param bucketCount Number of buckets in the service's table, a power of two.
    void eraseBucket(uint16_t service, uint32_t bucketCount, uint32_t bucket);

    /// @return The position of a flow hash in the order in which forEachInBucket() visits entries.
    std::pair<uint64_t, uint64_t> orderOf(uint64_t hash) const { return { hash & (m_segments.size() - 1), hash }; }

    /// Visits the entries of a bucket in ascending order of hash within each segment.
    /// @param service Low 16 bits of the service.
    /// @param bucketCount Number of buckets in the service's table, a power of two.
    /// @param visit Called with each entry; returns whether to continue.
    template <typename Visitor>
    void forEachInBucket(uint16_t service, uint32_t bucketCount, uint32_t bucket, Visitor visit) const
    {
        for (size_t index = bucket % m_segments.size(); index < m_segments.size(); index += bucketCount) {
            auto const& segment = m_segments[index];
            for (size_t slot = 0; slot < segment.slotCount(); ++slot) {
                auto const& entry = segment.at(slot);
                if (entry.state == flow_state::Free || entry.service != service)
                    continue;
                if ((entry.hash & (bucketCount - 1)) == bucket && !visit(entry))
                    return;
            }
        }
    }

    /// @return Number of entries that name the server.
    size_t countOf(server_id server) const;

    size_t size() const { return m_size; }
    size_t maximumFlows() const { return m_maximumFlows; }

    /// @return Bytes allocated for the table, including its segments and counts.
    size_t memoryBytes() const;

private:
    flow_segment& segmentOf(uint64_t hash) { return m_segments[hash & (m_segments.size() - 1)]; }
    void eraseEntry(flow_segment& segment, size_t slot);
    void decrementServerCount(server_id server);
    bool evictHandshake(flow_segment& segment, flow_tick now);

    template <typename Predicate>
    size_t eraseIf(flow_segment& segment, Predicate shouldErase)
    {
        size_t removed = 0;
        for (size_t slot = 0; slot < segment.slotCount();) {
            auto const& entry = segment.at(slot);
            if (entry.state == flow_state::Free || !shouldErase(entry)) {
                ++slot;
                continue;
            }
            eraseEntry(segment, slot);
            ++removed;
        }
        if (removed > 0)
            segment.shrink();
        return removed;
    }

    size_t m_maximumFlows;
    size_t m_size = 0;
    size_t m_sweepPosition = 0;
    std::vector<flow_segment> m_segments;
    std::unordered_map<server_id, uint32_t> m_serverCounts;
};

} // namespace bilberryyard
