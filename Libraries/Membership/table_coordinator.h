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

/// The part of a service's configuration that the coordinator needs.
struct coordinated_service {
    service_traffic traffic = service_traffic::Stream;
    /// A power of two.
    uint32_t bucketCount = 4096;
    auto operator<=>(coordinated_service const&) const = default;
};

/// Stores this host's tables and keeps them equal to the planner's; plans them while this host is the planner.
/// Performs no input or output: handles events and returns messages to send to peers.
class table_coordinator {
public:
    /// @param view This host's view of its peers; must outlive the coordinator.
    /// @return InvalidArgument that names the setting.
    static absl::StatusOr<table_coordinator> create(planner_settings const& settings, peer_view& view);

    /// Replaces the list of services. A service that was already listed keeps its table.
    /// @return InvalidArgument for a bucket count that is not a power of two, or for a listed service whose bucket
    ///     count or traffic kind changes.
    absl::Status setServices(std::map<service_id, coordinated_service> const& services);

    /// Handles a message of a peer.
    /// @return Messages to send.
    std::vector<addressed_message> receive(routed_peer sender, table_message const& message, monotonic_time now);

    /// Follows the planner that the view shows, and plans while this host is the planner. Must be called after
    /// heartbeats, after messages, and at least every 100 ms.
    /// @param servers Servers of each service; only used while this host is the planner.
    /// @return Messages to send.
    std::vector<addressed_message> step(
        std::map<service_id, std::vector<planner_server>> const& servers, host_intent intent, monotonic_time now);

    /// Sends a report about this host's witness roles to the planner, or applies it if this host is the planner.
    /// @param report A settled or filled report of this host.
    /// @return Messages to send.
    std::vector<addressed_message> report(table_message const& report);

    /// @return The acknowledgement for this host's heartbeats.
    table_acknowledgement acknowledgement() const;

    /// @return The announcements for this host's heartbeats; empty unless it is the planner.
    std::map<service_id, table_announcement> announcements() const;

    /// @param service A configured service.
    /// @return The table to route with; the reference is valid until the next event.
    bucket_table const& table(service_id service) const;

    bool isPlanning() const { return m_planner.has_value(); }

    /// @return Leaving hosts that may stop as of the last step; empty unless this host is the planner.
    std::vector<host_id> const& mayLeave() const { return m_mayLeave; }

private:
    table_coordinator(planner_settings const& settings, peer_view& view);

    void startPlanning();
    void stopPlanning();
    bool mayPublish(planner_input const& input);
    std::vector<addressed_message> plan(
        std::map<service_id, std::vector<planner_server>> const& servers, host_intent intent, monotonic_time now);
    std::vector<addressed_message> followPlanner(monotonic_time now);
    planner_input inputFrom(
        std::map<service_id, std::vector<planner_server>> const& servers, host_intent intent, monotonic_time now) const;
    std::vector<addressed_message> respond(routed_peer sender, table_request const& request, monotonic_time now);
    std::vector<addressed_message> applySnapshot(
        routed_peer sender, table_snapshot const& snapshot, monotonic_time now);
    std::vector<addressed_message> requestIfNeeded(service_id service, replica_need need, monotonic_time now);

    planner_settings m_settings;
    peer_view* m_view;
    std::map<service_id, coordinated_service> m_services;
    std::map<service_id, table_replica> m_replicas;
    /// When each service's snapshot was last requested. A request is repeated only after an interval, because it may be
    /// slow rather than lost.
    std::map<service_id, monotonic_time> m_requestedAt;
    /// Epoch of the last request of each host. A request with another epoch shows that the host has lost
    /// synchronisation since.
    std::map<routed_peer, uint64_t> m_epochs;
    std::optional<table_planner> m_planner;
    std::optional<monotonic_time> m_planningSince;
    bool m_mayPublish = false;
    /// For each service, the sender and the epoch of the last received snapshot.
    std::map<service_id, std::pair<routed_peer, uint64_t>> m_receivedSnapshots;
    std::vector<host_id> m_mayLeave;
    /// Table revisions that the announcements describe.
    std::map<service_id, uint64_t> m_announcedRevisions;
    std::map<service_id, table_announcement> m_announcements;
};

} // namespace bilberryyard
