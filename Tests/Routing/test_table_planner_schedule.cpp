#include "planner_harness.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace bilberryyard;

namespace {

/// Checks that the buckets are evenly distributed over all accepting servers and that no other server has one.
void checkServersUsed(planner_harness& harness)
{
    std::set<uint32_t> accepting;
    for (auto const& server : harness.input.servers[planner_harness::service])
        if (server.condition == server_condition::Accepting)
            accepting.insert(server.id.value);
    if (accepting.empty())
        return;
    for (auto const& [server, count] : harness.counts())
        BOOST_TEST(accepting.contains(server));
    BOOST_TEST(harness.imbalance() <= 1.02);
}

// Guards against a sequence of server and host changes, message delays and planner failovers after which a bucket has
// no accepting server or the load is uneven. planner_harness checks at every step that no bucket changes its server
// before it is tracked on every live host, and that no base changes at the same time.
BOOST_DATA_TEST_CASE(any_schedule_preserves_the_invariants, boost::unit_test::data::xrange(1u, 31u), seed)
{
    std::mt19937 random(seed);
    planner_harness harness(5, 1024);
    for (uint32_t id = 1; id <= 8; ++id)
        harness.server(id);
    harness.run(3000);
    uint32_t incarnation = 1;
    for (int step = 0; step < 60; ++step) {
        auto const id = 1 + static_cast<uint32_t>(random() % 12);
        switch (random() % 8) {
        case 0:
        case 1:
            harness.server(id).condition = server_condition::Accepting;
            break;
        case 2:
            harness.server(id).condition = random() % 2 ? server_condition::Dead : server_condition::Closed;
            break;
        case 3:
            harness.server(id).weight = 0.5 + random() % 4 * 0.5;
            break;
        case 4:
            harness.server(id).openConnections = random() % 2001;
            break;
        case 5: {
            auto const host = 1 + static_cast<uint32_t>(random() % 5);
            if (harness.replicas.contains(host) && harness.input.self.host.value != host
                && harness.input.hosts.size() > 2)
                harness.removeHost(host);
            else if (!harness.replicas.contains(host))
                harness.addHost(host, ++incarnation, 1024);
            break;
        }
        case 6:
            harness.switchPlanner(harness.input.hosts[random() % harness.input.hosts.size()].peer.host.value);
            break;
        default:
            harness.delaySteps = 1 + static_cast<int>(random() % 6);
        }
        harness.run(static_cast<int>(random() % 20) * 50);
    }
    for (auto& server : harness.input.servers[planner_harness::service]) {
        server.weight = 1.0;
        server.openConnections = 0;
    }
    harness.run(45000);
    checkServersUsed(harness);
    BOOST_TEST(harness.maximumWindowBytes() <= 4096u * 10);
}

// Guards against an idle planner that misses a change because it compares only a part of its input.
BOOST_DATA_TEST_CASE(idle_planner_detects_every_change, boost::unit_test::data::xrange(1u, 11u), seed)
{
    std::mt19937 random(seed);
    planner_harness harness(5, 1024);
    for (uint32_t id = 1; id <= 6; ++id)
        harness.server(id);
    harness.run(10000);
    for (int round = 0; round < 20; ++round) {
        for (int change = 0; change < 3; ++change) {
            auto& server = harness.server(2 + static_cast<uint32_t>(random() % 5));
            server.condition = random() % 2 ? server_condition::Accepting : server_condition::Closed;
            harness.run(static_cast<int>(random() % 8) * 50);
        }
        harness.run(12000);
        checkServersUsed(harness);
    }
}

struct host_row {
    uint32_t hosts;
};
std::ostream& operator<<(std::ostream& stream, host_row const& row) { return stream << row.hosts << " hosts"; }

host_row const hostRows[] = { { 3 }, { 4 }, { 5 }, { 9 } };

// Guards against an uneven distribution of witness roles over the hosts, and against a bucket whose witnesses are both
// in one zone although another zone has a host.
BOOST_DATA_TEST_CASE(witnesses_spread_over_hosts_and_zones, hostRows, row)
{
    planner_harness harness(row.hosts, 4096, service_traffic::Datagram);
    harness.server(1);
    // The hosts share one budget, so with nine hosts the first assignment of tracked buckets takes longer.
    harness.run(60000);
    std::map<uint32_t, uint32_t> primaries;
    auto const table = harness.table();
    for (uint32_t index = 0; index < 4096; ++index) {
        auto const& group = table.witnessesOf(table.at(index)).groups[0];
        BOOST_REQUIRE(group.count == 2);
        BOOST_REQUIRE(group.witnesses[0].host.value % 3 != group.witnesses[1].host.value % 3);
        ++primaries[group.witnesses[0].host.value];
    }
    BOOST_TEST(primaries.size() == row.hosts);
    for (auto const& [host, count] : primaries)
        BOOST_TEST(count <= 4096.0 / row.hosts * 1.15);
}

// Guards against a leaving balancer that is allowed to stop while a bucket still names it as witness, and against one
// that is never released.
BOOST_AUTO_TEST_CASE(leaving_balancer_is_released_when_no_bucket_names_it)
{
    planner_harness harness(5, 1024);
    for (uint32_t id = 1; id <= 4; ++id)
        harness.server(id);
    harness.run(3000);
    harness.server(2).condition = server_condition::Closed;
    harness.run(3000);
    harness.blockedHosts.insert(5);
    harness.input.hosts[2].isLeaving = true;
    harness.run(3000);
    BOOST_TEST(harness.mayLeave.empty());
    harness.blockedHosts.clear();
    harness.run(500);
    BOOST_REQUIRE(harness.mayLeave.size() == 1u);
    BOOST_CHECK(harness.mayLeave[0] == host_id { 3 });
    auto const table = harness.table();
    for (uint32_t index = 0; index < table.bucketCount(); ++index)
        if (table.at(index).phase == bucket_phase::Tracked)
            BOOST_REQUIRE(!witness_selector::containsHost(table.witnessesOf(table.at(index)), host_id { 3 }));
}

// Guards against flows that cannot be resolved for as long as both witnesses of a bucket are unreachable, and against
// the loss of these witnesses in the merge after a partition whose remote side published no change.
BOOST_AUTO_TEST_CASE(lost_group_is_removed_after_the_timeout_and_restored_by_a_merge)
{
    planner_harness harness(5, 1024);
    for (uint32_t id = 1; id <= 4; ++id)
        harness.server(id);
    harness.run(3000);
    // Leaving hosts get no roles, so hosts 4 and 5 become the witnesses of every tracked bucket and their side of the
    // partition has nothing to repair.
    for (auto& host : harness.input.hosts)
        host.isLeaving = host.peer.host.value < 4;
    harness.server(2).condition = server_condition::Closed;
    harness.run(3000);
    for (auto& host : harness.input.hosts)
        host.isLeaving = false;
    harness.run(500);
    auto const before = harness.table();
    auto const namesBoth = [](bucket_table const& table, uint32_t index) {
        auto const& set = table.witnessesOf(table.at(index));
        return table.at(index).phase == bucket_phase::Tracked && witness_selector::containsHost(set, host_id { 4 })
            && witness_selector::containsHost(set, host_id { 5 });
    };
    // Counts the buckets of which both lost witnesses are still named.
    auto const countLostGroups = [&](bucket_table const& table) {
        uint32_t result = 0;
        for (uint32_t index = 0; index < table.bucketCount(); ++index)
            result += namesBoth(before, index) && namesBoth(table, index);
        return result;
    };
    BOOST_REQUIRE(countLostGroups(before) == 256u);
    // The remote side consists of hosts 4 and 5. Host 4 is its planner and publishes no change.
    auto remotePlanner = table_planner::create(harness.settings, { host_id { 4 }, 1 }).value();
    BOOST_REQUIRE(remotePlanner.addService(service_traffic::Stream, harness.replicas.at(4).replicated()).ok());
    auto input = harness.input;
    std::erase_if(input.hosts, [](planner_host const& host) { return host.peer.host.value < 4; });
    input.self = { host_id { 4 }, 1 };
    for (auto& host : input.hosts)
        host.acknowledged = { { planner_harness::service, before.version() } };
    for (int step = 0; step < 3; ++step, input.now += std::chrono::milliseconds { 100 })
        remotePlanner.step(input);
    harness.removeHost(4);
    harness.removeHost(5);
    harness.run(9000);
    BOOST_TEST(countLostGroups(harness.table()) == countLostGroups(before));
    harness.run(8000);
    BOOST_TEST(countLostGroups(harness.table()) == 0u);
    BOOST_TEST(harness.planner->offer(*remotePlanner.replicated(planner_harness::service)).ok());
    BOOST_TEST(countLostGroups(harness.table()) == countLostGroups(before));
}

// Guards against a lagging table of the same lineage that is merged as if it came from another partition, which would
// restore witnesses that have been replaced.
BOOST_AUTO_TEST_CASE(lagging_table_is_not_merged)
{
    planner_harness harness(5, 1024);
    for (uint32_t id = 1; id <= 4; ++id)
        harness.server(id);
    harness.run(3000);
    harness.server(2).condition = server_condition::Closed;
    harness.run(3000);
    auto const lagging = harness.replicas.at(2).replicated();
    harness.removeHost(3);
    harness.run(3000);
    auto const digest = harness.table().digest();
    BOOST_TEST(harness.planner->offer(lagging).ok());
    BOOST_TEST(harness.table().digest() == digest);
    BOOST_TEST(harness.table().mergedWith(lagging.table).digest() != digest);
}

} // namespace
