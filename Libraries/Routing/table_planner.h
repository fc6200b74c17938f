#pragma once

#include <Routing/byte_budget.h>
#include <Routing/planner_types.h>
#include <Routing/replicated_table.h>
#include <Routing/service_planner.h>
#include <absl/status/statusor.h>
#include <map>
#include <optional>

namespace bilberryyard {

/// Plans the bucket tables of all services while this host is the planner of its partition
/// (docs/design.md sections 3.2 and 3.3). Create one when this host becomes the planner, from the tables
/// that its replicas hold; hand the tables back to the replicas when another host takes over.
///
/// Every change is paced by the budget for control traffic: the most urgent changes may use all of it,
/// the others leave a part for them.
class table_planner {
public:
    /// @param settings The settings.
    /// @param self This host.
    /// @return The planner, or InvalidArgument that names the setting.
    static absl::StatusOr<table_planner> create(planner_settings const& settings, routed_peer self);

    /// Starts to plan a service.
    /// @param traffic Whether its buckets can be stable.
    /// @param start Its table as this host holds it.
    /// @return Conflict when the service is planned already.
    absl::Status addService(service_traffic traffic, replicated_table const& start);

    /// Stops to plan a service that the configuration no longer lists.
    /// @param service The service.
    void removeService(service_id service);

    /// Takes the table of a host that joins this partition or followed another planner.
    /// @param table Its table.
    /// @return NotFound for an unknown service, InvalidArgument for another number of buckets.
    absl::Status offer(replicated_table const& table);

    /// Takes a witness's report that buckets can settle.
    /// @param report The report.
    void settled(settled_report const& report);

    /// Takes a filling witness's report that its transfer is finished.
    /// @param report The report.
    void filled(filled_report const& report);

    /// Takes note that a host lost synchronisation, for example because it was suspended.
    /// @param host The host.
    void desynchronised(routed_peer host);

    /// Counts other table traffic, for example snapshots, against the budget.
    /// @param bytes Bytes sent to all peers together.
    /// @param now The time.
    void charge(uint64_t bytes, monotonic_time now) { m_budget.charge(bytes, now); }

    /// Decides what to publish now. Call after events and at least every 100 ms.
    /// @param input The time, hosts and servers.
    /// @return Deltas for every live peer, and leaving hosts that may stop.
    planner_output step(planner_input const& input);

    /// @param service A service.
    /// @return Its table with all published changes, valid until the next call; nullptr for an unknown service.
    bucket_table const* table(service_id service) const;

    /// @param service A service.
    /// @return A number that changes with every change of the table's contents; 0 for an unknown service.
    uint64_t revision(service_id service) const;

    /// @param service A service.
    /// @return Its table with lineage; nullopt for an unknown service.
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
    /// The service that is served first changes with every step.
    uint64_t m_round = 0;
};

} // namespace bilberryyard
