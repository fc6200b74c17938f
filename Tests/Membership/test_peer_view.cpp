#include <Base/error_kind.h>
#include <Membership/peer_view.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>

using namespace bilberryyard;

namespace {

monotonic_time at(int milliseconds) { return monotonic_time {} + std::chrono::milliseconds { milliseconds }; }

/// Hosts that exchange heartbeats every 100 ms. The network can be partitioned, and hosts can be suspended.
class peer_group {
public:
    explicit peer_group(uint32_t count)
    {
        std::set<host_id> configured;
        for (uint32_t host = 1; host <= count; ++host)
            configured.insert(host_id { host });
        for (uint32_t host = 1; host <= count; ++host) {
            views.emplace_back(routed_peer { host_id { host }, 1 }, zone_id { host }, peer_settings {}, at(0));
            views.back().setConfiguredHosts(configured);
        }
    }

    peer_view& view(uint32_t host) { return views[host - 1]; }

    /// Advances the time. If serveTables is set, unsynchronised hosts receive the planner's tables at once.
    void runUntil(int milliseconds)
    {
        for (; now < milliseconds; now += 100) {
            for (auto& target : views)
                if (!suspended.contains(target.self().host.value))
                    target.advance(at(now));
            for (auto& source : views)
                for (auto& target : views)
                    if (isConnected(source, target))
                        BOOST_REQUIRE(target.receive(source.heartbeat(host_intent::Staying, {}, {}), at(now)).ok());
            for (auto& target : views)
                if (auto const planner = target.planner(); serveTables && planner
                    && !suspended.contains(target.self().host.value)
                    && target.state() == synchronisation::Unsynchronised)
                    target.tablesReceived(*planner, target.epoch(), at(now));
        }
    }

    std::vector<peer_view> views;
    std::set<uint32_t> suspended;
    /// Hosts that cannot reach the others; empty without a partition.
    std::set<uint32_t> partition;
    bool serveTables = true;
    int now = 0;

private:
    bool isConnected(peer_view const& source, peer_view const& target) const
    {
        auto const first = source.self().host.value;
        auto const second = target.self().host.value;
        return first != second && !suspended.contains(first) && !suspended.contains(second)
            && partition.contains(first) == partition.contains(second);
    }
};

// Guards against a deployment that never gets a planner after all hosts have started together.
BOOST_AUTO_TEST_CASE(lowest_host_becomes_planner_at_first_start)
{
    peer_group group(4);
    group.runUntil(3000);
    for (auto const& view : group.views) {
        BOOST_CHECK(view.state() == synchronisation::Synchronised);
        BOOST_CHECK(view.planner()->host == host_id { 1 });
        BOOST_TEST(view.isEveryHostLive());
    }
}

struct unresponsive_row {
    uint32_t host;
    int unresponsiveMs;
    uint32_t planner;
    synchronisation otherState;
};
std::ostream& operator<<(std::ostream& stream, unresponsive_row const& row)
{
    return stream << "host " << row.host << " unresponsive for " << row.unresponsiveMs << " ms";
}

unresponsive_row const unresponsiveRows[] = {
    { 1, 1900, 1, synchronisation::Synchronised },
    { 1, 2300, 2, synchronisation::Synchronised },
    { 3, 2300, 1, synchronisation::Synchronised },
};

// Guards against a failover before the failure timeout, and against all hosts losing synchronisation at once because
// their planner failed, which would leave no host able to plan.
BOOST_DATA_TEST_CASE(unresponsive_host_fails_after_two_seconds, unresponsiveRows, row)
{
    peer_group group(4);
    group.runUntil(3000);
    group.suspended.insert(row.host);
    group.runUntil(3000 + row.unresponsiveMs);
    BOOST_CHECK(group.view(4).planner()->host == host_id { row.planner });
    BOOST_CHECK(group.view(4).state() == row.otherState);
    BOOST_TEST(group.view(4).livePeers().size() == (row.unresponsiveMs < 2000 ? 3u : 2u));
}

// Guards against a host that continues with its old table after its process was suspended, and against accepting a
// response that waited in a socket buffer during the suspension.
BOOST_AUTO_TEST_CASE(suspended_host_is_unsynchronised_until_it_has_new_tables)
{
    peer_group group(3);
    group.runUntil(3000);
    auto const epoch = group.view(2).epoch();
    group.suspended.insert(2);
    group.runUntil(6000);
    group.suspended.clear();
    group.serveTables = false;
    group.runUntil(8000);
    auto& view = group.view(2);
    BOOST_TEST(view.suspensions() == 1u);
    BOOST_CHECK(view.state() == synchronisation::Unsynchronised);
    view.tablesReceived(*view.planner(), epoch, at(8000));
    BOOST_CHECK(view.state() == synchronisation::Unsynchronised);
    view.tablesReceived(*view.planner(), view.epoch(), at(8000));
    BOOST_CHECK(view.state() == synchronisation::Synchronised);
}

// Guards against a host that still trusts its table when it is the only one that lost the planner, which stops waiting
// for it after two seconds.
BOOST_AUTO_TEST_CASE(single_host_that_lost_the_planner_is_unsynchronised)
{
    peer_view view({ host_id { 3 }, 1 }, zone_id { 3 }, {}, at(0));
    view.setConfiguredHosts({ host_id { 1 }, host_id { 2 }, host_id { 3 } });
    peer_heartbeat planner { { host_id { 1 }, 1 }, zone_id { 1 }, synchronisation::Synchronised, {}, {}, {}, {} };
    peer_heartbeat peer { { host_id { 2 }, 1 }, zone_id { 2 }, synchronisation::Synchronised, {}, { host_id { 1 } }, {},
        {} };
    BOOST_REQUIRE(view.receive(planner, at(0)).ok());
    view.tablesReceived(planner.sender, view.epoch(), at(0));
    for (int time = 100; time < 1500; time += 100)
        BOOST_REQUIRE(view.receive(peer, at(time)).ok());
    BOOST_CHECK(view.state() == synchronisation::Synchronised);
    BOOST_REQUIRE(view.receive(peer, at(1500)).ok());
    BOOST_CHECK(view.state() == synchronisation::Unsynchronised);
}

// Guards against a part of a partitioned network without a planner, and against two planners after it heals.
BOOST_AUTO_TEST_CASE(each_part_of_a_partitioned_network_has_a_planner)
{
    peer_group group(5);
    group.runUntil(3000);
    group.partition = { 4, 5 };
    group.runUntil(6000);
    BOOST_CHECK(group.view(3).planner()->host == host_id { 1 });
    BOOST_CHECK(group.view(5).planner()->host == host_id { 4 });
    BOOST_TEST(!group.view(5).isEveryHostLive());
    group.partition = { 5 };
    group.runUntil(9000);
    BOOST_CHECK(group.view(5).state() == synchronisation::Isolated);
    BOOST_CHECK(group.view(5).isPlanner());
    BOOST_CHECK(group.view(4).planner()->host == host_id { 1 });
    group.partition.clear();
    group.runUntil(10000);
    for (auto const& view : group.views)
        BOOST_CHECK(view.planner()->host == host_id { 1 });
}

struct refused_heartbeat_row {
    char const* name;
    routed_peer sender;
    error_kind expected;
};
std::ostream& operator<<(std::ostream& stream, refused_heartbeat_row const& row) { return stream << row.name; }

refused_heartbeat_row const refusedHeartbeatRows[] = {
    { "own identifier", { host_id { 1 }, 1 }, error_kind::InvalidArgument },
    { "not configured", { host_id { 9 }, 1 }, error_kind::NotFound },
    { "earlier incarnation", { host_id { 2 }, 4 }, error_kind::Conflict },
};

// Guards against an unknown or replaced process that is treated as an entry host.
BOOST_DATA_TEST_CASE(heartbeat_is_refused, refusedHeartbeatRows, row)
{
    peer_view view({ host_id { 1 }, 1 }, zone_id { 1 }, {}, at(0));
    view.setConfiguredHosts({ host_id { 1 }, host_id { 2 } });
    peer_heartbeat heartbeat { { host_id { 2 }, 5 }, zone_id { 2 }, synchronisation::Synchronised, {}, {}, {}, {} };
    BOOST_REQUIRE(view.receive(heartbeat, at(0)).ok());
    heartbeat.sender = row.sender;
    BOOST_CHECK(errorKindOf(view.receive(heartbeat, at(1))) == row.expected);
}

} // namespace
