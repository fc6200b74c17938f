#pragma once

#include "coordinator_cluster.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace bilberryyard {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr service_id orders { 1 };
inline constexpr uint32_t orderServers = 14;
inline constexpr uint32_t galleryServers = 4;

inline void addServers(coordinator_cluster& cluster)
{
    for (uint32_t number = 1; number <= orderServers; ++number)
        cluster.addServer(1, number);
    for (uint32_t number = 1; number <= galleryServers; ++number)
        cluster.addServer(2, number);
}

// A running deployment in which the cold starts of all servers have ended.
inline std::unique_ptr<coordinator_cluster> settledCluster(uint32_t hosts = 5, uint32_t buckets = 256)
{
    auto cluster = std::make_unique<coordinator_cluster>(hosts, buckets);
    cluster->startAll();
    addServers(*cluster);
    cluster->run(seconds { 25 });
    return cluster;
}

inline directory_entry const* findEntry(balancer_coordinator& host, server_key const& key)
{
    for (auto const& [identifier, owner] : host.directory().owners()) {
        if (owner == key)
            return host.directory().find(identifier);
    }
    return nullptr;
}

inline bool isAccepting(coordinator_cluster& cluster, uint32_t host, server_key const& key)
{
    auto const* entry = findEntry(cluster.at(host), key);
    auto const& servers = cluster.viewOf(host).routing->servers;
    auto const found = entry ? servers.find(entry->id) : servers.end();
    return found != servers.end() && found->second.condition == server_condition::Accepting;
}

inline std::map<server_id, uint32_t> bucketsByServer(bucket_table const& table)
{
    std::map<server_id, uint32_t> counts;
    for (uint32_t index = 0; index < table.bucketCount(); ++index)
        ++counts[table.at(index).current];
    return counts;
}

inline double imbalance(bucket_table const& table)
{
    auto const counts = bucketsByServer(table);
    auto const largest = std::max_element(counts.begin(), counts.end(),
        [](auto const& first, auto const& second) { return first.second < second.second; });
    return largest->second * static_cast<double>(counts.size()) / table.bucketCount();
}

inline void checkEqualTables(coordinator_cluster& cluster)
{
    for (auto const host : cluster.running()) {
        for (auto const& [service, table] : cluster.at(cluster.running().front()).tables())
            BOOST_TEST(cluster.at(host).tables().at(service)->digest() == table->digest());
    }
}

} // namespace bilberryyard
