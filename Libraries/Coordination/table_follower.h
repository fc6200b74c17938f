#pragma once

#include <Coordination/coordination_message.h>
#include <map>
#include <memory>
#include <optional>

namespace bilberryyard {

/// Whether the tables changed.
enum class table_update : uint8_t {
    None,
    Changed,
};

/// The tables that this host holds, kept in step with the planner that it follows.
class table_follower {
public:
    /// Makes sure that a table of a service exists, and drops those of services that are gone.
    /// @param bucketCounts Number of buckets by service.
    /// @return Whether a table was added or dropped.
    table_update setServices(std::map<service_id, uint32_t> const& bucketCounts);

    /// Applies a planner's delta.
    /// @param message The delta.
    /// @return Whether a table changed. A delta of a planner that this host does not follow has no effect;
    /// after a gap in the versions this host follows nobody until it has synchronised again.
    table_update apply(delta_message const& message);

    /// Takes the planner's answer. A complete one makes this host follow the planner.
    /// @param answer The answer.
    /// @return Whether a table changed.
    table_update apply(table_answer const& answer);

    /// Takes over the tables that this host publishes as planner.
    /// @param self This host.
    /// @param table One table.
    void adopt(routed_peer self, replicated_table const& table);

    /// Stops to follow; the tables stay.
    void unfollow() { m_followed.reset(); }

    /// @param epoch peer_view::epoch().
    /// @return The request that states all tables.
    table_request request(uint64_t epoch) const;

    /// @param wanted Services.
    /// @return Their tables as an offer.
    table_offer offer(std::vector<service_id> const& wanted) const;

    /// @return The planner whose versions the tables have.
    std::optional<routed_peer> followed() const { return m_followed; }
    /// @return What the heartbeat acknowledges.
    table_acknowledgement acknowledgement() const;
    std::map<service_id, replicated_table> const& tables() const { return m_tables; }
    /// @return The tables for a routing_view; shared with earlier views where they have not changed.
    std::map<service_id, std::shared_ptr<bucket_table const>> const& sharedTables() const { return m_shared; }

private:
    void store(replicated_table const& table);

    std::optional<routed_peer> m_followed;
    std::map<service_id, replicated_table> m_tables;
    std::map<service_id, std::shared_ptr<bucket_table const>> m_shared;
    std::map<service_id, uint64_t> m_versions;
};

} // namespace bilberryyard
