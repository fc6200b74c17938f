#pragma once

#include <Coordination/coordination_message.h>
#include <Coordination/coordinator_settings.h>
#include <Coordination/flow_state.h>
#include <Coordination/forwarding_view.h>
#include <Coordination/settle_scanner.h>
#include <Coordination/witness_filler.h>
#include <Membership/health_evaluator.h>
#include <Membership/table_coordinator.h>
#include <absl/status/statusor.h>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace bilberryyard {

/// Row of the `status` output for an entry host.
struct peer_status {
    routed_peer host;
    zone_id zone;
    synchronisation state = synchronisation::Unsynchronised;
    host_intent intent = host_intent::Staying;
    uint64_t configurationRevision = 0;
    /// Time since its last heartbeat.
    duration age {};
    auto operator<=>(peer_status const&) const = default;
};

/// Row of the `status` output for a backend server.
struct server_status {
    directory_entry entry;
    server_condition condition = server_condition::Closed;
    auto operator<=>(server_status const&) const = default;
};

/// Makes the decisions of an entry host that do not concern single packets: membership, tables, planning, filling of
/// witnesses and settling of buckets. It is driven by events and the passed time, and has no sockets, clocks or
/// threads.
class balancer_coordinator {
public:
    /// @return InvalidArgument that names the invalid setting.
    static absl::StatusOr<balancer_coordinator> create(coordinator_settings const& settings, monotonic_time now);

    /// Applies a configuration; a lower revision than the current one has no effect.
    /// @return InvalidArgument for a change that needs a new service, such as another bucket count.
    absl::Status configure(coordinated_configuration const& configuration, monotonic_time now);

    /// Handles an announcement of a backend server.
    /// @return The server's identifier, or the error of server_directory::announce().
    absl::StatusOr<server_id> announce(server_announcement const& announcement, monotonic_time now);

    /// Handles a message of another entry host.
    /// @return The first error in the message. Records that precede the one in error stay merged.
    absl::Status receive(coordination_message const& message, monotonic_time now);

    /// Handles a result of the flow router's thread.
    void receive(flow_result const& result, monotonic_time now);

    /// Begins a graceful shutdown of this host.
    void leave() { m_intent = host_intent::Leaving; }

    /// @return Whether no host depends on this one any more.
    bool mayLeave() const { return m_mayLeave; }

    /// Performs the periodic work. Must be called at least every 100 ms.
    void step(monotonic_time now);

    /// @return Messages to send, in order.
    std::vector<outgoing_message> drainMessages() { return std::exchange(m_messages, {}); }
    /// @return Commands for the flow router's thread.
    std::vector<flow_command> drainCommands() { return std::exchange(m_commands, {}); }
    /// @return The view if it has changed since the last call, otherwise null.
    std::shared_ptr<forwarding_view const> pollView() { return std::exchange(m_newView, nullptr); }

    synchronisation state() const { return m_peers->state(); }
    std::optional<routed_peer> planner() const { return m_peers->planner(); }
    uint64_t configurationRevision() const { return m_configuration.revision; }
    coordinated_configuration const& configuration() const { return m_configuration; }
    /// @return The tables by service as of the last step.
    std::map<service_id, std::shared_ptr<bucket_table const>> const& tables() const { return m_tables; }
    /// @return One row for each live entry host, this one first.
    std::vector<peer_status> hosts(monotonic_time now) const;
    std::vector<server_status> servers(monotonic_time now) const;
    server_directory const& directory() const { return m_directory; }

private:
    balancer_coordinator(coordinator_settings const& settings, server_directory directory,
        std::unique_ptr<peer_view> peers, table_coordinator tableCoordinator);

    void send(host_id receiver, coordination_message::body_type body);
    void send(std::vector<addressed_message> messages);
    void sendHeartbeats(monotonic_time now);
    void sendHeartbeatTo(host_id receiver);
    void acknowledgeTables();
    void sendRecords(monotonic_time now);
    /// @return Whether a renewal suffices for the peers; if not, stores the record as sent in full.
    bool isRenewal(server_record const& record, monotonic_time now);
    void sendLeavePermissions(monotonic_time now);
    void sendRecordsToNewPeers(monotonic_time now);

    absl::Status handle(routed_peer sender, heartbeat_message const& message, monotonic_time now);
    absl::Status handle(routed_peer sender, records_message const& message, monotonic_time now);
    absl::Status handle(routed_peer sender, handshake_statistics_message const& message, monotonic_time now);
    absl::Status handle(routed_peer sender, table_message const& message, monotonic_time now);
    absl::Status handle(routed_peer sender, fill_request const& message, monotonic_time now);
    absl::Status handle(routed_peer sender, fill_response const& message, monotonic_time now);
    absl::Status handle(routed_peer sender, leave_permission const& message, monotonic_time now);

    /// @return Whether a peer is a witness of a bucket; also true for a bucket that is not tracked.
    bool isWitness(routed_peer peer, bucket_table const& table, uint32_t index) const;
    void runTables(monotonic_time now);
    void refreshTables();
    void scanForSettling(monotonic_time now);
    void observe(std::vector<handshake_statistics> const& statistics, monotonic_time now);
    void evaluateServers(monotonic_time now);
    std::map<service_id, std::vector<planner_server>> plannerServers(monotonic_time now) const;

    void recordLeavingServers(monotonic_time now);
    new_flow_policy newFlowPolicyOf(directory_entry const& entry, monotonic_time now) const;
    server_condition conditionOf(directory_entry const& entry, monotonic_time now) const;
    server_override const* overrideOf(directory_entry const& entry) const;
    uint32_t connectionLimitOf(directory_entry const& entry) const;
    routed_service const* findService(service_id id) const;
    void refreshView(monotonic_time now);
    std::shared_ptr<routing_view> buildRoutingView(monotonic_time now) const;

    coordinator_settings m_settings;
    coordinated_configuration m_configuration;
    server_directory m_directory;
    /// On the heap, because the table coordinator keeps a pointer to it.
    std::unique_ptr<peer_view> m_peers;
    table_coordinator m_tableCoordinator;
    witness_filler m_filler;
    std::map<service_id, settle_scanner> m_scanners;
    std::map<service_id, health_evaluator> m_evaluators;
    std::map<server_id, health_evaluation> m_evaluations;
    std::map<server_id, report_stamp> m_evaluatedReports;
    std::map<server_id, monotonic_time> m_leavingSince;
    std::map<service_id, std::shared_ptr<bucket_table const>> m_tables;
    std::map<host_id, uint64_t> m_peerRevisions;
    std::map<host_id, monotonic_time> m_peersLastSeenAt;
    std::set<routed_peer> m_peersWithRecords;
    table_acknowledgement m_sentAcknowledgement;
    host_intent m_intent = host_intent::Staying;
    bool m_mayLeave = false;

    std::optional<monotonic_time> m_heartbeatsSentAt;
    std::optional<monotonic_time> m_recordsSentAt;
    std::optional<monotonic_time> m_evaluatedAt;
    std::optional<monotonic_time> m_permissionsSentAt;
    uint64_t m_sentRecordCounter = 0;
    struct sent_record {
        server_announcement announcement;
        monotonic_time at;
    };
    /// Last announcement that was sent as a full record, by server; without its load.
    std::map<server_id, sent_record> m_sentRecords;

    std::vector<outgoing_message> m_messages;
    std::vector<flow_command> m_commands;
    std::shared_ptr<forwarding_view const> m_view;
    std::shared_ptr<forwarding_view const> m_newView;
};

} // namespace bilberryyard
