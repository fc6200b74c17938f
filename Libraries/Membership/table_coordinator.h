#pragma once

#include <Membership/peer_view.h>
#include <Membership/table_message.h>
#include <Routing/table_planner.h>
#include <Routing/table_replica.h>
#include <absl/status/statusor.h>
#include <map>
#include <optional>
#include <vector>

namespace bilberryyard {

/// What the coordinator needs to know of a service.
struct coordinated_service {
    service_traffic traffic = service_traffic::Stream;
    /// A power of two.
    uint32_t bucketCount = 4096;
    auto operator<=>(coordinated_service const&) const = default;
};

/// Holds this host's tables and keeps them equal to the planner's; plans them while this host is the
/// planner. Events in, messages to peers out.
class table_coordinator {
public:
    /// @param settings The planner's settings.
    /// @param view This host's view of its peers; outlives the coordinator.
    /// @return The coordinator, or InvalidArgument that names the setting.
    static absl::StatusOr<table_coordinator> create(planner_settings const& settings, peer_view& view);

    /// Replaces the list of services. A service that stays keeps its table.
    /// @param services The services.
    /// @return InvalidArgument for a bucket count that is no power of two or differs from the present one.
    absl::Status setServices(std::map<service_id, coordinated_service> const& services);

    /// Takes a message of a peer.
    /// @param sender The peer.
    /// @param message The message.
    /// @param now The time.
    /// @return Messages to send.
    std::vector<addressed_message> receive(routed_peer sender, table_message const& message, monotonic_time now);

    /// Follows the view, and plans while this host is the planner. Call after heartbeats, after messages,
    /// and at least every 100 ms.
    /// @param servers Servers of each service; used while this host is the planner.
    /// @param intent Whether this host is leaving.
    /// @param now The time.
    /// @return Messages to send.
    std::vector<addressed_message> step(
        std::map<service_id, std::vector<planner_server>> const& servers, host_intent intent, monotonic_time now);

    /// Sends a report about this host's witness roles to the planner, or takes it if this host plans.
    /// @param report A settled or filled report of this host.
    /// @return Messages to send.
    std::vector<addressed_message> report(table_message const& report);

    /// @return The acknowledgement for this host's heartbeats.
    table_acknowledgement acknowledgement() const;

    /// @return The announcements for this host's heartbeats; empty unless it plans.
    std::map<service_id, table_announcement> announcements() const;

    /// @param service A known service.
    /// @return The table to route with, valid until the next event.
    bucket_table const& table(service_id service) const;

    /// @return Whether this host plans the tables.
    bool isPlanning() const { return m_planner.has_value(); }

    /// @return Leaving hosts that may stop, by the last step; empty unless this host plans.
    std::vector<host_id> const& mayLeave() const { return m_mayLeave; }

private:
    table_coordinator(planner_settings const& settings, peer_view& view);

    void startPlanning();
    void stopPlanning();
    bool mayPublish(planner_input const& input);
    std::vector<addressed_message> plan(
        std::map<service_id, std::vector<planner_server>> const& servers, host_intent intent, monotonic_time now);
    std::vector<addressed_message> follow(monotonic_time now);
    planner_input inputFrom(
        std::map<service_id, std::vector<planner_server>> const& servers, host_intent intent, monotonic_time now) const;
    std::vector<addressed_message> answer(routed_peer sender, table_request const& request, monotonic_time now);
    std::vector<addressed_message> replace(routed_peer sender, table_snapshot const& snapshot, monotonic_time now);
    std::vector<addressed_message> needs(service_id service, replica_need need, monotonic_time now);

    planner_settings m_settings;
    peer_view* m_view;
    std::map<service_id, coordinated_service> m_services;
    std::map<service_id, table_replica> m_replicas;
    /// When each service's snapshot was last requested, so that a lost request is repeated and a slow one is not.
    std::map<service_id, monotonic_time> m_requestedAt;
    /// Epoch of the last request of each host. A request of another epoch tells that the host lost
    /// synchronisation in between.
    std::map<routed_peer, uint64_t> m_epochs;
    std::optional<table_planner> m_planner;
    std::optional<monotonic_time> m_planningSince;
    bool m_mayPublish = false;
    /// The planner whose snapshots of this epoch have arrived, with the services.
    std::map<service_id, std::pair<routed_peer, uint64_t>> m_received;
    std::vector<host_id> m_mayLeave;
    /// Revisions of the planned tables that the announcements describe.
    std::map<service_id, uint64_t> m_announcedRevisions;
    std::map<service_id, table_announcement> m_announcements;
};

} // namespace bilberryyard
