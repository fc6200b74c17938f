#include "planner_cluster.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace bilberryyard;

namespace {

planner_server& serverOf(planner_cluster& cluster, uint32_t id)
{
    return cluster.servers[planner_cluster::service][id - 1];
}

void runWithNewFlows(planner_cluster& cluster, int steps)
{
    for (int step = 0; step < steps; ++step) {
        cluster.openFlows(4);
        cluster.run(50);
    }
}

// Guards against flows that are broken by planned changes: servers drain and return, weights change, and balancers
// leave and join one after the other, while packets arrive at any balancer.
BOOST_DATA_TEST_CASE(planned_changes_break_no_flow, boost::unit_test::data::xrange(1u, 21u), seed)
{
    planner_cluster cluster(5, seed);
    cluster.run(6000);
    uint32_t leavingHost = 0;
    for (int round = 0; round < 20; ++round) {
        auto& server = serverOf(cluster, 1 + cluster.random() % 6);
        if (cluster.random() % 2)
            server.condition = server.condition == server_condition::Accepting ? server_condition::Closed
                                                                               : server_condition::Accepting;
        else
            server.weight = 0.5 + cluster.random() % 4 * 0.5;
        serverOf(cluster, 1).condition = server_condition::Accepting;
        if (leavingHost == 0 && cluster.random() % 4 == 0) {
            leavingHost = 1 + cluster.random() % 5;
            cluster.leave(leavingHost);
        } else if (leavingHost != 0 && cluster.hasLeft(leavingHost)) {
            cluster.restart(leavingHost);
            leavingHost = 0;
        }
        runWithNewFlows(cluster, 60);
    }
    if (leavingHost != 0) {
        runWithNewFlows(cluster, 200);
        cluster.restart(leavingHost);
    }
    runWithNewFlows(cluster, 1200);
    BOOST_TEST(cluster.opened > 3000);
    BOOST_TEST(cluster.misdelivered == 0);
    BOOST_TEST(cluster.settledBuckets() > 0u);
    for (auto& server : cluster.servers[planner_cluster::service])
        server.weight = 1.0;
    cluster.checkConvergence();
    BOOST_TEST(cluster.misdelivered == 0);
}

// Guards against flows that are broken when a balancer, possibly the planner, fails during a server change, and against
// tables that differ after the failover. The failed host returns with a new incarnation.
BOOST_DATA_TEST_CASE(balancer_failure_during_server_change_breaks_no_flow,
    boost::unit_test::data::xrange(1u, 21u) + boost::unit_test::data::make({ 124u, 136u, 140u, 147u }), seed)
{
    planner_cluster cluster(5, seed);
    cluster.run(6000);
    for (int round = 0; round < 6; ++round) {
        auto const failing = 1 + static_cast<uint32_t>(cluster.random() % 5);
        auto& server = serverOf(cluster, 2 + cluster.random() % 5);
        server.condition
            = server.condition == server_condition::Accepting ? server_condition::Closed : server_condition::Accepting;
        runWithNewFlows(cluster, static_cast<int>(cluster.random() % 12));
        cluster.crash(failing);
        runWithNewFlows(cluster, 100);
        cluster.restart(failing);
        runWithNewFlows(cluster, 100);
    }
    BOOST_TEST(cluster.opened > 2000);
    BOOST_TEST(cluster.misdelivered == 0);
    cluster.checkConvergence();
}

// Guards against a host that uses an old table after it was suspended. With the last four seeds, flows were once
// resolved at a witness that other hosts had skipped during its suspension.
BOOST_DATA_TEST_CASE(suspended_balancer_breaks_no_flow,
    boost::unit_test::data::xrange(1u, 21u) + boost::unit_test::data::make({ 102u, 161u, 346u, 348u }), seed)
{
    planner_cluster cluster(5, seed);
    cluster.run(6000);
    for (int round = 0; round < 8; ++round) {
        cluster.suspend(
            1 + static_cast<uint32_t>(cluster.random() % 5), 200 + static_cast<int>(cluster.random() % 5000));
        auto& server = serverOf(cluster, 2 + cluster.random() % 5);
        server.condition
            = server.condition == server_condition::Accepting ? server_condition::Closed : server_condition::Accepting;
        runWithNewFlows(cluster, 160);
    }
    BOOST_TEST(cluster.misdelivered == 0);
    cluster.checkConvergence();
}

// Guards against tables that stay different after partitions, crashes, dead servers and lost messages in any order,
// against a part of a partitioned network without a planner, and against flows that no host can resolve afterwards.
BOOST_DATA_TEST_CASE(tables_converge_after_any_failures,
    boost::unit_test::data::xrange(1u, 41u) + boost::unit_test::data::make({ 363u, 516u, 637u }), seed)
{
    planner_cluster cluster(5, seed);
    cluster.run(6000);
    uint32_t crashed = 0;
    for (int round = 0; round < 15; ++round) {
        switch (cluster.random() % 6) {
        case 0:
            cluster.partition
                = { 1 + static_cast<uint32_t>(cluster.random() % 5), 1 + static_cast<uint32_t>(cluster.random() % 5) };
            break;
        case 1:
            cluster.partition.clear();
            break;
        case 2:
            if (crashed == 0) {
                crashed = 1 + static_cast<uint32_t>(cluster.random() % 5);
                cluster.crash(crashed);
            } else {
                cluster.restart(crashed);
                crashed = 0;
            }
            break;
        case 3:
            cluster.kill(2 + cluster.random() % 5);
            break;
        case 4:
            cluster.suspend(1 + static_cast<uint32_t>(cluster.random() % 5), 3000);
            break;
        default:
            cluster.dropProbability = cluster.random() % 2 ? 0.1 : 0.0;
        }
        runWithNewFlows(cluster, 80);
        BOOST_TEST(cluster.plannerCount() >= 1u);
    }
    if (crashed != 0)
        cluster.restart(crashed);
    cluster.checkConvergence();
}

} // namespace
