#pragma once

#include <Routing/routing_view.h>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace bilberryyard {

/// Plans the tables of the benchmark's services through joins, drains and host failures with the two-phase rollout of
/// docs/design.md section 3.2. Every router gets the same changes at the same time.
class scripted_planner {
public:
    /// A request to copy the flow entries of a bucket to a filling witness, which is then complete.
    struct transfer_order {
        service_id service;
        uint32_t bucket = 0;
        host_id from;
        host_id to;
    };

    /// @param serverCounts Number of servers of each service; server n of a service has the id service * 100 + n.
    /// @param hosts Number of entry hosts; their ids start at 1.
    /// @param bucketCount Number of buckets of each table.
    /// @param witnessCount Number of witnesses of each tracked bucket.
    scripted_planner(
        std::map<service_id, uint32_t> const& serverCounts, uint32_t hosts, uint32_t bucketCount, uint8_t witnessCount);

    /// Adds a server and assigns it its share of the buckets.
    void join(service_id service, server_id server);
    /// Closes a server to new flows and assigns its buckets to the other servers.
    void drain(service_id service, server_id server);
    /// Removes a host from the view.
    void removeHost(host_id host);
    /// Adds a host, or gives it a new incarnation if it is in the view.
    void addHost(host_id host);

    /// Performs the next step of the rollout.
    /// @param allHostsHave Returns whether every running host has the table version of the service.
    /// @param transfer Copies the flow entries of a bucket; returns whether the copy succeeded.
    /// @return Whether the view changed.
    bool step(std::function<bool(service_id, uint64_t)> const& allHostsHave,
        std::function<bool(transfer_order const&)> const& transfer);

    /// @return The current view of a host; the host must be in the view.
    routing_view viewOf(host_id self) const;

    /// @return The table deltas since the last call.
    std::vector<table_delta> drainDeltas() { return std::exchange(m_deltas, {}); }

    std::map<host_id, uint32_t> const& hosts() const { return m_hosts; }
    /// @return The servers of a service that accept new flows.
    std::set<server_id> const& serversOf(service_id service) const { return m_servers.at(service); }

private:
    struct service_plan {
        std::vector<server_id> targets;
        std::vector<uint64_t> trackedVersion;
        std::vector<uint64_t> fillingVersion;
    };

    void rebalance(service_id service);
    bool isRunning(witness const& member) const;
    witness_set witnessesFor(uint32_t index) const;
    void changeBucket(service_id service, uint32_t index, table_delta& delta,
        std::function<bool(service_id, uint64_t)> const& allHostsHave);
    void repairWitnesses(service_id service, uint32_t index, table_delta& delta,
        std::function<bool(service_id, uint64_t)> const& allHostsHave,
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

/// @return The address of a service of the benchmark.
ip_address benchmarkAddress(service_id service);

} // namespace bilberryyard
