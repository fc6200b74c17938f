#pragma once

#include <Routing/byte_budget.h>
#include <Routing/planner_types.h>
#include <Routing/replicated_table.h>
#include <Routing/service_planner.h>
#include <absl/status/statusor.h>
#include <map>
#include <optional>

namespace bilberryyard {

/// Plans the bucket tables of all services while this host is the planner of its partition (docs/design.md sections 3.2
/// and 3.3). Create one from the tables of the replicas when this host becomes the planner, and transfer the tables
/// back to the replicas when another host does.
///
/// All changes share a budget for control traffic. The most urgent changes may use all of it; the others leave a part
/// of it for more urgent ones.
class table_planner {
public:
    /// @return The planner, or InvalidArgument with a message that names the invalid setting.
    static absl::StatusOr<table_planner> create(planner_settings const& settings, routed_peer self);

    /// Starts to plan a service.
    /// @param traffic Whether its buckets can be stable.
    /// @param start The service's table on this host.
    /// @return Conflict when the service is planned already.
    absl::Status addService(service_traffic traffic, replicated_table const& start);

    /// Stops planning a service that the configuration no longer lists.
    void removeService(service_id service);

    /// Merges the table of a host that joins this partition or followed another planner; see service_planner::offer().
    /// @return NotFound for an unknown service, InvalidArgument for another number of buckets.
    absl::Status offer(replicated_table const& table);

    /// Records a witness's report that buckets can settle.
    void settled(settled_report const& report);

    /// Records a filling witness's report that its transfer is complete.
    void filled(filled_report const& report);

    /// Records that a host lost synchronisation, for example because it was suspended.
    void recordDesynchronisation(routed_peer host);

    /// Charges other table traffic, for example snapshots, to the budget.
    /// @param bytes Bytes sent to all peers together.
    void charge(uint64_t bytes, monotonic_time now) { m_budget.charge(bytes, now); }

    /// Decides which changes to publish now. Must be called after events and at least every 100 ms.
    planner_output step(planner_input const& input);

    /// @return The table with all published changes; nullptr for an unknown service. Valid until the next call of a
    ///     function that is not const.
    bucket_table const* table(service_id service) const;

    /// @return A counter that increases with every change of the table's contents; 0 for an unknown service.
    uint64_t revision(service_id service) const;

    /// @return The table with its lineage; nullopt for an unknown service.
    std::optional<replicated_table> replicated(service_id service) const;

private:
    table_planner(planner_settings const& settings, routed_peer self);

    uint64_t allowance(change_urgency urgency, uint64_t copies, monotonic_time now) const;
    void publish(change_urgency urgency, planner_input const& input, planner_output& output);

    planner_settings m_settings;
    routed_peer m_self;
    byte_budget m_budget;
    std::map<service_id, service_planner> m_services;
    std::optional<monotonic_time> m_publishedAt;
    /// Incremented with every step, to rotate the service whose changes are published first.
    uint64_t m_round = 0;
};

} // namespace bilberryyard
