#pragma once

#include <Routing/retry_budget.h>
#include <Routing/witness_set_view.h>
#include <cstdint>
#include <memory>
#include <vector>

namespace bilberryyard {

/// Times of past events of a bucket that a router needs.
struct bucket_history {
    /// When this host learned that the bucket is tracked; max() until the next observe() sets the time.
    monotonic_time trackedSince = monotonic_time::min();
    /// When this host received a table with a further witness group; max() until the next observe() sets the time.
    monotonic_time mergedSince = monotonic_time::min();
    /// Last time that a segment was resolved to a base that differs from current.
    monotonic_time lastBaseUse = monotonic_time::min();
};

/// The bucket table of one service, together with the data that this host derives from it.
class service_routes {
public:
    explicit service_routes(service_id service)
        : m_service(service)
    {
    }

    /// Replaces the table and the derived data.
    /// @return Buckets whose explicit entries are void, because this host newly became a witness of them.
    std::vector<uint32_t> setView(routing_view const& view);

    /// Sets the time of the changes made by the last setView(), since a view carries no time.
    void observe(monotonic_time now);

    service_id service() const { return m_service; }
    uint16_t shortService() const { return static_cast<uint16_t>(m_service.value); }
    /// @return The table, or null while the host has none.
    bucket_table const* table() const { return m_table.get(); }
    /// @return The servers that are current for at least one bucket, in ascending order without duplicates.
    std::vector<server_id> const& currentServers() const { return m_currentServers; }
    witness_set_view const& witnessViewOf(bucket const& value) const { return m_witnessViews[value.witnessSet]; }
    bucket_history& historyOf(uint32_t index) { return m_history[index]; }
    bucket_history const& historyOf(uint32_t index) const { return m_history[index]; }
    retry_budget& retries() { return m_retries; }
    /// @return Whether this host stores explicit entries for a bucket of the table.
    bool storesEntriesFor(bucket const& value) const
    {
        return value.phase == bucket_phase::Tracked && witnessViewOf(value).selfMember();
    }

private:
    bool startsNewWitnessRole(bucket_table const& next, uint32_t index, routed_peer const& self) const;
    void recordChange(bucket_table const& next, uint32_t index);

    service_id m_service;
    routed_peer m_self;
    std::shared_ptr<bucket_table const> m_table;
    std::vector<witness_set_view> m_witnessViews;
    std::vector<bucket_history> m_history;
    std::vector<server_id> m_currentServers;
    /// Buckets whose history the next observe() must set to the current time.
    std::vector<uint32_t> m_untimedBuckets;
    retry_budget m_retries;
};

} // namespace bilberryyard
