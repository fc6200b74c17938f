#include "../Coordination/cluster_checks.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

using namespace bilberryyard;

namespace {

// Guards against a restarted host that plans, or routes by a table, before it knows the servers, which moved half of
// the buckets and reset flows. Messages to the host, including the first records, are dropped until it is connected.
BOOST_DATA_TEST_CASE(restarted_host_knows_the_servers_first,
    boost::unit_test::data::make({ 60, 500, 1100, 2500 }) * boost::unit_test::data::make({ 300, 700 }), pause,
    connection)
{
    auto const cluster = settledCluster();
    auto const before = *cluster->at(2).tables().at(orders);
    cluster->stop(1);
    cluster->run(milliseconds { pause });
    cluster->start(1);
    auto const connected = cluster->now() + milliseconds { connection };
    cluster->shouldDeliver = [&](outgoing_message const& message) {
        return message.receiver != host_id { 1 } || cluster->now() > connected;
    };
    cluster->run(seconds { 20 }, [&] {
        auto& restarted = cluster->at(1);
        for (auto const& [service, table] : restarted.tables()) {
            for (auto const& [server, count] : bucketsByServer(*table))
                BOOST_REQUIRE(server == noServer || restarted.directory().find(server));
        }
        if (restarted.planner() && restarted.planner()->host == host_id { 1 })
            BOOST_REQUIRE(restarted.servers(cluster->now()).size() == orderServers + galleryServers);
        for (auto const host : cluster->running()) {
            for (auto const& [server, value] : cluster->viewOf(host).routing->servers)
                BOOST_REQUIRE(value.condition == server_condition::Accepting);
        }
    });
    BOOST_CHECK(cluster->at(1).planner() == (routed_peer { host_id { 1 }, 2 }));
    checkEqualTables(*cluster);
    auto const& after = *cluster->at(1).tables().at(orders);
    uint32_t moved = 0;
    for (uint32_t index = 0; index < after.bucketCount(); ++index)
        moved += after.at(index).current == before.at(index).current ? 0 : 1;
    BOOST_TEST(moved == 0U);
}

} // namespace
