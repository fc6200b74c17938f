#include "../Coordination/coordinator_cluster.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace bilberryyard;
using std::chrono::seconds;

namespace {

constexpr uint32_t orderServers = 14;
constexpr uint32_t galleryServers = 4;

enum class flow_load {
    /// No flows, so no handshake statistics.
    Idle,
    /// Every host reports handshakes of every server each second.
    Busy,
};

std::ostream& operator<<(std::ostream& stream, flow_load load)
{
    return stream << (load == flow_load::Idle ? "idle" : "busy");
}

flow_load const loads[] = { flow_load::Idle, flow_load::Busy };

struct traffic_fixture {
    explicit traffic_fixture(flow_load load)
        : cluster(5, 4096)
    {
        cluster.reportsHandshakes = load == flow_load::Busy;
        cluster.startAll();
        for (uint32_t number = 1; number <= orderServers; ++number)
            cluster.addServer(1, number);
        for (uint32_t number = 1; number <= galleryServers; ++number)
            cluster.addServer(2, number);
        cluster.run(seconds { 30 });
        cluster.resetByteCounts();
    }

    // The target is 4,096 bytes/s on average over any 10 s (docs/design.md section 1).
    void check() const
    {
        for (auto const& [host, bytes] : cluster.maximumWindowBytes()) {
            BOOST_TEST_MESSAGE("host " << host << " sent at most " << bytes << " bytes in 10 s");
            BOOST_TEST(bytes <= 40'960U, "host " << host << " sent " << bytes << " bytes in 10 s");
        }
    }

    coordinator_cluster cluster;
};

// Guards against control traffic above the target when a server joins and drains.
BOOST_DATA_TEST_CASE(server_changes_stay_within_the_budget, loads, load)
{
    traffic_fixture test(load);
    auto const key = test.cluster.addServer(1, orderServers + 1);
    test.cluster.run(seconds { 15 });
    test.cluster.drain(key);
    test.cluster.run(seconds { 15 });
    test.check();
}

// Guards against control traffic above the target when a host that is not the planner restarts.
BOOST_DATA_TEST_CASE(host_restart_stays_within_the_budget, loads, load)
{
    traffic_fixture test(load);
    test.cluster.stop(4);
    test.cluster.run(seconds { 1 });
    test.cluster.start(4);
    test.cluster.run(seconds { 30 });
    test.check();
}

// Guards against control traffic above the target when the planner restarts and resumes planning.
BOOST_DATA_TEST_CASE(planner_restart_stays_within_the_budget, loads, load)
{
    traffic_fixture test(load);
    test.cluster.stop(1);
    test.cluster.run(seconds { 1 });
    test.cluster.start(1);
    test.cluster.run(seconds { 30 });
    test.check();
}

// Guards against control traffic above the target when a join, a drain and a restart follow each other.
BOOST_DATA_TEST_CASE(churn_stays_within_the_budget, loads, load)
{
    traffic_fixture test(load);
    auto const key = test.cluster.addServer(1, orderServers + 1);
    test.cluster.run(seconds { 5 });
    test.cluster.drain(key);
    test.cluster.run(seconds { 5 });
    test.cluster.stop(1);
    test.cluster.run(seconds { 1 });
    test.cluster.start(1);
    test.cluster.run(seconds { 30 });
    test.check();
}

} // namespace
