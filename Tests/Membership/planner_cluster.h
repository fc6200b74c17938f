#pragma once

#include <Membership/table_coordinator.h>
#include <memory>
#include <random>
#include <set>
#include <vector>

namespace bilberryyard {

/// Simulates entry hosts with real peer views and table coordinators on a network that delays and drops messages and
/// can be partitioned. Packets of flows arrive at random hosts and are routed by a minimal implementation of
/// docs/design.md section 3.2.
class planner_cluster {
public:
    static constexpr service_id service { 1 };
    static constexpr uint32_t bucketCount = 64;

    planner_cluster(uint32_t hostCount, uint32_t seed);

    void run(int milliseconds);
    void openFlows(int count);
    /// Heals the network, waits for the tables to converge and checks the route of every open flow at every host.
    void checkConvergence();

    void crash(uint32_t host);
    void restart(uint32_t host);
    void suspend(uint32_t host, int milliseconds);
    void leave(uint32_t host) { hosts[host - 1].intent = host_intent::Leaving; }
    bool hasLeft(uint32_t host) const { return !hosts[host - 1].isRunning; }
    /// Marks a server as dead and removes its flows.
    void kill(uint32_t server);
    uint32_t plannerCount() const;
    /// Number of buckets that have moved and are stable again.
    uint32_t settledBuckets() const;

    struct cluster_host {
        routed_peer peer;
        bool isRunning = false;
        monotonic_time suspendedUntil;
        host_intent intent = host_intent::Staying;
        std::unique_ptr<peer_view> view;
        std::unique_ptr<table_coordinator> coordinator;
        /// Explicit entries by flow.
        std::map<uint64_t, server_id> entries;
        /// For each bucket, when a flow was last resolved to a base that differs from current.
        std::map<uint32_t, monotonic_time> baseUsedAt;
        std::map<uint32_t, std::pair<server_id, server_id>> observed;
        std::map<uint32_t, monotonic_time> fillingSince;
    };
    struct flow {
        uint64_t id = 0;
        server_id server = noServer;
    };

    std::vector<cluster_host> hosts;
    std::map<service_id, std::vector<planner_server>> servers;
    /// Hosts that cannot reach the others; empty without a partition.
    std::set<uint32_t> partition;
    std::map<uint64_t, flow> flows;
    std::mt19937 random;
    monotonic_time now {};
    double dropProbability = 0;
    /// Segments that were routed to another server than their flow's.
    int misdelivered = 0;
    int opened = 0;

private:
    struct packet {
        uint64_t flow = 0;
        bool isSyn = false;
        std::set<uint32_t> visited;
    };
    struct queued_message {
        monotonic_time arrival;
        uint32_t sender = 0;
        uint32_t receiver = 0;
        routed_peer from;
        std::variant<peer_heartbeat, table_message> content;
    };

    bool isActive(uint32_t host) const;
    bool isConnected(uint32_t first, uint32_t second) const
    {
        return partition.contains(first) == partition.contains(second);
    }
    bool isAlive(server_id server) const;
    void start(uint32_t host);
    void send(uint32_t sender, uint32_t receiver, std::variant<peer_heartbeat, table_message> content);
    void sendAll(uint32_t sender, std::vector<addressed_message> const& messages);
    void deliver();
    void stepHost(cluster_host& host);
    void reportRoles(cluster_host& host);
    bool knowsWitness(uint32_t host, uint32_t index, witness const& member) const;
    void sendSegments();
    size_t digestCount() const;
    uint32_t randomHost();
    std::optional<server_id> route(uint32_t host, packet value, int hops);
    std::optional<server_id> record(uint32_t host, packet const& value, witness_group const& group, server_id current);
    std::optional<uint32_t> firstLive(cluster_host const& host, witness_group const& group) const;

    std::vector<queued_message> m_queuedMessages;
    std::map<std::pair<uint32_t, uint32_t>, monotonic_time> m_lastArrival;
    uint64_t m_nextFlow = 1;
};

} // namespace bilberryyard
