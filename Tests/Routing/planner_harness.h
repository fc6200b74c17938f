#pragma once

#include <Routing/delta_builder.h>
#include <Routing/table_planner.h>
#include <Routing/table_replica.h>
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <random>

namespace bilberryyard {

/// A planner with replicas on other hosts. Deltas arrive after a delay, and hosts can be blocked from receiving them.
class planner_harness {
public:
    static constexpr service_id service { 1 };

    explicit planner_harness(uint32_t hostCount = 5, uint32_t bucketCount = 4096,
        service_traffic flows = service_traffic::Stream, planner_settings configured = {})
        : settings(configured)
        , traffic(flows)
    {
        for (uint32_t host = 1; host <= hostCount; ++host) {
            input.configuredHosts.insert(host_id { host });
            addHost(host, 1, bucketCount);
        }
        switchPlanner(1);
    }

    void addHost(uint32_t host, uint32_t incarnation, uint32_t bucketCount = 4096)
    {
        input.hosts.push_back({ { host_id { host }, incarnation }, zone_id { host % 3 }, false, {} });
        std::sort(input.hosts.begin(), input.hosts.end());
        replicas.emplace(host, table_replica({ bucket_table(service, bucketCount), {} }));
        inboxes[host].clear();
    }

    void removeHost(uint32_t host)
    {
        std::erase_if(input.hosts, [&](planner_host const& value) { return value.peer.host.value == host; });
        replicas.erase(host);
    }

    /// Makes a host the planner, with the table of its replica.
    void switchPlanner(uint32_t host)
    {
        if (planner && replicas.contains(input.self.host.value))
            replicas.at(input.self.host.value) = table_replica(*planner->replicated(service));
        for (auto const& value : input.hosts)
            if (value.peer.host.value == host)
                input.self = value.peer;
        planner.emplace(table_planner::create(settings, input.self).value());
        BOOST_REQUIRE(planner->addService(traffic, replicas.at(host).replicated()).ok());
        for (auto& [other, inbox] : inboxes)
            inbox.clear();
    }

    planner_server& server(uint32_t id)
    {
        auto& servers = input.servers[service];
        auto const found = std::find_if(
            servers.begin(), servers.end(), [&](planner_server const& value) { return value.id.value == id; });
        if (found != servers.end())
            return *found;
        servers.push_back({ server_id { id }, server_condition::Accepting, 1.0, 2000, 0, input.now });
        return servers.back();
    }

    bucket_table table() const { return planner->replicated(service)->table; }

    /// Advances the simulated time in steps of 50 ms.
    void run(int milliseconds)
    {
        for (auto const end = input.now + std::chrono::milliseconds { milliseconds }; input.now < end;) {
            input.now += std::chrono::milliseconds { 50 };
            step();
        }
    }

    /// Reports from every live host that every bucket can settle.
    void reportAllSettled()
    {
        auto const current = table();
        for (uint32_t index = 0; index < current.bucketCount(); ++index)
            for (auto const& host : input.hosts)
                planner->settled({ service, host.peer, current.at(index).stamp, { index } });
    }

    std::map<uint32_t, uint32_t> counts() const
    {
        std::map<uint32_t, uint32_t> result;
        auto const current = table();
        for (uint32_t index = 0; index < current.bucketCount(); ++index)
            ++result[current.at(index).current.value];
        return result;
    }

    double imbalance() const
    {
        auto const bucketCounts = counts();
        uint32_t most = 0;
        uint32_t total = 0;
        for (auto const& [id, count] : bucketCounts) {
            most = std::max(most, count);
            total += count;
        }
        size_t accepting = 0;
        for (auto const& value : input.servers.at(service))
            accepting += value.condition == server_condition::Accepting ? 1 : 0;
        return most * static_cast<double>(accepting) / total;
    }

    uint32_t trackedBuckets() const
    {
        auto const current = table();
        uint32_t result = 0;
        for (uint32_t index = 0; index < current.bucketCount(); ++index)
            result += current.at(index).phase == bucket_phase::Tracked ? 1 : 0;
        return result;
    }

    /// Largest number of bytes sent to all peers together in any 10 s.
    uint64_t maximumWindowBytes() const
    {
        uint64_t worst = 0;
        for (auto const& [start, unused] : sent) {
            uint64_t sum = 0;
            for (auto const& [time, bytes] : sent)
                sum += time >= start && time - start < std::chrono::seconds { 10 } ? bytes : 0;
            worst = std::max(worst, sum);
        }
        return worst;
    }

    planner_settings settings;
    service_traffic traffic;
    planner_input input;
    std::optional<table_planner> planner;
    std::map<uint32_t, table_replica> replicas;
    /// Hosts that receive no messages.
    std::set<uint32_t> blockedHosts;
    std::vector<host_id> mayLeave;
    /// Delivery delay of deltas in steps of 50 ms.
    int delaySteps = 1;
    /// Number of buckets moved to each server.
    std::map<uint32_t, uint32_t> movedBuckets;
    std::vector<std::pair<monotonic_time, uint64_t>> sent;

private:
    void step()
    {
        deliver();
        auto const before = table();
        auto output = planner->step(input);
        mayLeave = output.mayLeave;
        checkRollout(before, output);
        for (auto const& delta : output.deltas) {
            sent.emplace_back(input.now, estimateDeltaBytes(delta) * (input.hosts.size() - 1));
            for (auto& [host, inbox] : inboxes)
                inbox.emplace_back(input.now, delta);
        }
    }

    void deliver()
    {
        auto const current = table();
        auto const digest = current.digest();
        for (auto& host : input.hosts) {
            auto const hostId = host.peer.host.value;
            if (hostId == input.self.host.value || blockedHosts.contains(hostId))
                continue;
            auto& replica = replicas.at(hostId);
            auto& inbox = inboxes[hostId];
            while (!inbox.empty() && input.now - inbox.front().first >= std::chrono::milliseconds { 50 * delaySteps }) {
                replica.received(input.self, inbox.front().second);
                inbox.pop_front();
            }
            if (inbox.empty() && replica.announced(input.self, current.version(), digest) != replica_need::Nothing) {
                if (replica.received(input.self, *planner->replicated(service)) == replica_need::Offer)
                    BOOST_REQUIRE(planner->offer(replica.replicated()).ok());
            }
            host.acknowledged.clear();
            if (auto const version = replica.acknowledged(input.self))
                host.acknowledged[service] = *version;
        }
    }

    void checkRollout(bucket_table const& before, planner_output const& output)
    {
        auto const after = table();
        for (auto const& delta : output.deltas) {
            for (auto const& change : delta.changes) {
                for (auto const index : change.buckets) {
                    auto const& old = before.at(index);
                    if (old.current == noServer || old.current == change.current)
                        continue;
                    ++movedBuckets[change.current.value];
                    for (auto const& host : input.hosts) {
                        auto const hostId = host.peer.host.value;
                        auto const& seen = hostId == input.self.host.value ? before : replicas.at(hostId).table();
                        BOOST_REQUIRE_MESSAGE(seen.at(index).phase == bucket_phase::Tracked,
                            "bucket " << index << " moved while host " << hostId << " treats it as stable");
                    }
                    BOOST_REQUIRE(old.base == change.base);
                }
            }
        }
        BOOST_REQUIRE(after.version() >= before.version());
    }

    std::map<uint32_t, std::deque<std::pair<monotonic_time, table_delta>>> inboxes;
};

} // namespace bilberryyard
