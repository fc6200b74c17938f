#pragma once

#include <Routing/routing_view.h>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace bilberryyard {

/// Drives the tables of the benchmark's two services through joins, drains and host failures with the
/// two-phase rollout of docs/design.md section 3.2. Gives every router the same changes at the same time.
class scripted_planner {
public:
    /// A filling witness that must be sent the entries of a bucket before it counts as complete.
    struct transfer_order {
        service_id service;
        uint32_t bucket = 0;
        host_id from;
        host_id to;
    };

    /// @param serverCounts Number of servers of each service; server n of a service has the id service * 100 + n.
    /// @param hosts Entry hosts, numbered from 1.
    /// @param bucketCount Buckets of each table.
    /// @param witnessCount Witnesses of each tracked bucket.
    scripted_planner(
        std::map<service_id, uint32_t> const& serverCounts, uint32_t hosts, uint32_t bucketCount, uint8_t witnessCount);

    /// Adds a server, which takes its share of the buckets.
    void join(service_id service, server_id server);
    /// Closes a server to new flows and spreads its buckets.
    void drain(service_id service, server_id server);
    /// Removes a host from the view.
    void removeHost(host_id host);
    /// Adds a host, or counts it as restarted when it is in the view already.
    void addHost(host_id host);

    /// Takes the next step of the rollout.
    /// @param allHave Whether every live host has a table version of a service.
    /// @param transfer Copies the entries of a bucket; returns whether both hosts answered.
    /// @return Whether the view changed.
    bool step(std::function<bool(service_id, uint64_t)> const& allHave,
        std::function<bool(transfer_order const&)> const& transfer);

    /// @param self A host of the view.
    /// @return The view to publish to it now.
    routing_view viewOf(host_id self) const;

    /// @return The changes of tables since the last call.
    std::vector<table_delta> takeDeltas() { return std::exchange(m_deltas, {}); }

    std::map<host_id, uint32_t> const& hosts() const { return m_hosts; }
    /// @param service A service.
    /// @return Its servers that take new flows.
    std::set<server_id> const& serversOf(service_id service) const { return m_servers.at(service); }

private:
    struct service_plan {
        std::vector<server_id> targets;
        std::vector<uint64_t> trackedVersion;
        std::vector<uint64_t> fillingVersion;
    };

    void rebalance(service_id service);
    bool lives(witness const& member) const;
    witness_set witnessesFor(uint32_t index) const;
    void changeBucket(service_id service, uint32_t index, table_delta& delta,
        std::function<bool(service_id, uint64_t)> const& allHave);
    void repairWitnesses(service_id service, uint32_t index, table_delta& delta,
        std::function<bool(service_id, uint64_t)> const& allHave,
        std::function<bool(transfer_order const&)> const& transfer);

    uint8_t m_witnessCount;
    std::map<host_id, uint32_t> m_hosts;
    std::map<host_id, uint32_t> m_lastIncarnation;
    std::map<service_id, std::set<server_id>> m_servers;
    std::map<server_id, routed_server> m_conditions;
    std::map<service_id, bucket_table> m_tables;
    std::map<service_id, service_plan> m_plans;
    std::vector<table_delta> m_deltas;
};

/// @param service A service of the benchmark.
/// @return Its address.
ip_address benchmarkAddress(service_id service);

} // namespace bilberryyard
