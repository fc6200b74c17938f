#pragma once

#include <Coordination/coordination_message.h>
#include <Coordination/coordinator_settings.h>
#include <Coordination/flow_state.h>
#include <Coordination/forwarding_view.h>
#include <Coordination/settle_scanner.h>
#include <Coordination/table_follower.h>
#include <Coordination/witness_filler.h>
#include <Routing/table_planner.h>
#include <absl/status/statusor.h>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace bilberryyard {

/// What `status` shows of an entry host.
struct host_status {
    routed_peer host;
    zone_id zone;
    synchronisation state = synchronisation::Unsynchronised;
    host_intent intent = host_intent::Staying;
    uint64_t configurationRevision = 0;
    /// Time since its last heartbeat.
    duration age {};
    auto operator<=>(host_status const&) const = default;
};

/// What `status` shows of a backend server.
struct server_status {
    directory_entry entry;
    server_condition condition = server_condition::Closed;
    auto operator<=>(server_status const&) const = default;
};

/// The decisions of an entry host apart from the packets: membership, the tables and the planner's work,
/// filling and settling. Takes events and the time; has no sockets, clocks or threads.
class balancer_coordinator {
public:
    /// @param settings The settings.
    /// @param now The time.
    /// @return The coordinator, or InvalidArgument.
    static absl::StatusOr<balancer_coordinator> create(coordinator_settings const& settings, monotonic_time now);

    /// Takes a configuration; a lower revision than the one in force has no effect.
    void configure(coordinated_configuration const& configuration, monotonic_time now);

    /// Takes an announcement of a backend server.
    /// @return Its number, or the error of server_directory::announce(); NotFound for an unknown service.
    absl::StatusOr<server_id> announce(server_announcement const& announcement, monotonic_time now);

    /// Takes a message of another entry host.
    /// @return The error of the first part that refused it; the message then has no effect.
    absl::Status receive(coordination_message const& message, monotonic_time now);

    /// Takes an answer of the flow router's thread.
    void receive(flow_result const& result, monotonic_time now);

    /// Replaces the weights that the health judge derives, by server number.
    void setHealth(std::map<server_id, double> weights, std::set<server_id> ejected);

    /// Begins a graceful stop of this host.
    void leave() { m_intent = host_intent::Leaving; }

    /// @return Whether no host depends on this one any more.
    bool mayLeave() const { return m_mayLeave; }

    /// Does what is due. Must be called at least every 100 ms.
    void step(monotonic_time now);

    /// @return Messages to send, in order.
    std::vector<outgoing_message> takeMessages() { return std::exchange(m_messages, {}); }
    /// @return Commands for the flow router's thread.
    std::vector<flow_command> takeCommands() { return std::exchange(m_commands, {}); }
    /// @return The view when it has changed since the last call, else null.
    std::shared_ptr<forwarding_view const> takeView() { return std::exchange(m_newView, nullptr); }

    synchronisation state() const { return m_peers.state(); }
    std::optional<routed_peer> planner() const { return m_peers.planner(); }
    uint64_t configurationRevision() const { return m_configuration.revision; }
    coordinated_configuration const& configuration() const { return m_configuration; }
    std::map<service_id, replicated_table> const& tables() const { return m_follower.tables(); }
    std::map<service_id, std::shared_ptr<bucket_table const>> const& sharedTables() const
    {
        return m_follower.sharedTables();
    }
    /// @param now The time.
    /// @return One row for each live entry host, this one first.
    std::vector<host_status> hosts(monotonic_time now) const;
    /// @param now The time.
    std::vector<server_status> servers(monotonic_time now) const;
    server_directory const& directory() const { return m_directory; }

private:
    balancer_coordinator(coordinator_settings const& settings, server_directory directory, monotonic_time now);

    void send(host_id receiver, decltype(coordination_message::body) body);
    void sendHeartbeats(monotonic_time now);
    void sendHeartbeatTo(host_id receiver);
    void sendRecords(monotonic_time now);
    void greetNewPeers(monotonic_time now);

    absl::Status handle(routed_peer sender, heartbeat_message const& message, monotonic_time now);
    absl::Status handle(routed_peer sender, records_message const& message, monotonic_time now);
    absl::Status handle(routed_peer sender, delta_message const& message, monotonic_time now);
    absl::Status handle(routed_peer sender, table_request const& message, monotonic_time now);
    absl::Status handle(routed_peer sender, table_answer const& message, monotonic_time now);
    absl::Status handle(routed_peer sender, table_offer const& message, monotonic_time now);
    absl::Status handle(routed_peer sender, fill_request const& message, monotonic_time now);
    absl::Status handle(routed_peer sender, fill_answer const& message, monotonic_time now);
    absl::Status handle(routed_peer sender, settled_report const& message, monotonic_time now);
    absl::Status handle(routed_peer sender, filled_report const& message, monotonic_time now);
    absl::Status handle(routed_peer sender, leave_permission const& message, monotonic_time now);

    void updatePlannerRole(monotonic_time now);
    void startPlanning();
    void followPlanner(routed_peer planner, monotonic_time now);
    void runPlanner(monotonic_time now);
    planner_input plannerInput(monotonic_time now) const;
    void tablesChanged();
    void reportToPlanner(monotonic_time now);
    void scanForSettling(monotonic_time now);
    template <typename Report>
    void deliverReport(Report const& report);

    server_condition conditionOf(directory_entry const& entry, monotonic_time now) const;
    server_override const* overrideOf(directory_entry const& entry) const;
    uint32_t limitOf(directory_entry const& entry) const;
    coordinated_service const* findService(service_id id) const;
    void refreshView(monotonic_time now);
    std::shared_ptr<routing_view> buildRoutingView(monotonic_time now) const;

    coordinator_settings m_settings;
    coordinated_configuration m_configuration;
    server_directory m_directory;
    peer_view m_peers;
    table_follower m_follower;
    std::optional<table_planner> m_planner;
    witness_filler m_filler;
    std::map<service_id, settle_scanner> m_scanners;
    std::map<server_id, double> m_healthWeights;
    std::set<server_id> m_ejected;
    std::map<host_id, uint64_t> m_peerRevisions;
    std::map<host_id, monotonic_time> m_heardAt;
    std::set<routed_peer> m_greeted;
    host_intent m_intent = host_intent::Staying;
    bool m_mayLeave = false;

    std::optional<monotonic_time> m_heartbeatAt;
    std::optional<monotonic_time> m_recordsAt;
    std::optional<monotonic_time> m_requestAt;
    uint64_t m_sentRecordCounter = 0;

    std::vector<outgoing_message> m_messages;
    std::vector<flow_command> m_commands;
    std::shared_ptr<forwarding_view const> m_view;
    std::shared_ptr<forwarding_view const> m_newView;
};

} // namespace bilberryyard
