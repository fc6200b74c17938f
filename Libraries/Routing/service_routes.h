#pragma once

#include <Routing/retry_budget.h>
#include <Routing/witness_plan.h>
#include <cstdint>
#include <memory>
#include <vector>

namespace bilberryyard {

/// What a router remembers of a bucket besides its flows.
struct bucket_memory {
    /// When this host learned that the bucket is tracked; max() until the next packet tells the time.
    monotonic_time trackedSince = monotonic_time::min();
    /// When this host learned of another witness group.
    monotonic_time mergedSince = monotonic_time::min();
    /// When a segment was last resolved to a base that differs from current.
    monotonic_time lastBaseUse = monotonic_time::min();
};

/// One service's table together with what this host derives from it.
class service_routes {
public:
    /// @param service The service.
    explicit service_routes(service_id service)
        : m_service(service)
    {
    }

    /// Takes over a view.
    /// @param view The view.
    /// @return Buckets whose explicit entries are void: this host became a witness of them anew.
    std::vector<uint32_t> setView(routing_view const& view);

    /// Sets the time of changes that came with a view, which has no time of its own.
    /// @param now The time.
    void observe(monotonic_time now);

    service_id service() const { return m_service; }
    uint16_t shortService() const { return static_cast<uint16_t>(m_service.value); }
    /// @return The table, or null before the first.
    bucket_table const* table() const { return m_table.get(); }
    /// @return Different servers that are current for any bucket, in ascending order.
    std::vector<server_id> const& currentServers() const { return m_currentServers; }
    witness_plan const& planOf(bucket const& value) const { return m_plans[value.witnessSet]; }
    bucket_memory& memoryOf(uint32_t index) { return m_memory[index]; }
    bucket_memory const& memoryOf(uint32_t index) const { return m_memory[index]; }
    retry_budget& retries() { return m_retries; }

    /// @param value A bucket of the table.
    /// @return Whether this host keeps explicit entries for it.
    bool holds(bucket const& value) const { return value.phase == bucket_phase::Tracked && planOf(value).selfMember(); }

private:
    bool beginsAnew(bucket_table const& next, uint32_t index, routed_peer const& self) const;
    void noteChange(bucket_table const& next, uint32_t index);

    service_id m_service;
    routed_peer m_self;
    std::shared_ptr<bucket_table const> m_table;
    std::vector<witness_plan> m_plans;
    std::vector<bucket_memory> m_memory;
    std::vector<server_id> m_currentServers;
    /// Buckets whose times are set by the next observe().
    std::vector<uint32_t> m_unstamped;
    retry_budget m_retries;
};

} // namespace bilberryyard
