// Orders of evacuations while control hosts, balancers and their messages fail.
#include "control_fixture.h"

#include <Base/error_kind.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <ostream>
#include <set>

using namespace bilberryyard;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto begin = evacuation_change::Begin;
constexpr auto end = evacuation_change::End;

/// Sends an order to each host in turn until one acknowledges it.
bool orderAtLeader(std::vector<control_service*> const& hosts, evacuation_order const& order)
{
    for (auto const deadline = bootTime() + seconds(10); bootTime() < deadline;) {
        for (auto* const host : hosts) {
            if (host->order(order).status.ok())
                return true;
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
}

/// Runs a balancer until it knows these evacuated zones.
bool obeysWithin(balancer_probe& probe, std::set<std::string> const& zones, milliseconds timeout)
{
    for (auto const limit = bootTime() + timeout; bootTime() < limit;) {
        probe.run(milliseconds(10));
        if (probe.router.pool().evacuations().zones == zones)
            return true;
    }
    return false;
}

hello_response responseOf(uint64_t configurationVersion, uint64_t evacuationRevision)
{
    hello_response response;
    response.configurationVersion = configurationVersion;
    response.evacuationRevision = evacuationRevision;
    return response;
}

struct start_row {
    char const* name;
    std::vector<fleet_message> messages;
    uint64_t routesVersion;
    evacuated_zones evacuations;
};
std::ostream& operator<<(std::ostream& stream, start_row const& row) { return stream << row.name; }

start_row const startRows[] = {
    { "routes arrive first", { tableOf(5) }, 0, {} },
    { "no evacuation", { responseOf(5, 0), tableOf(5) }, 5, {} },
    { "the message with the zones is lost", { responseOf(5, 2), tableOf(5) }, 0, {} },
    { "the zones arrive before the response", { evacuated_zones { 2, { "a" } }, responseOf(5, 2), tableOf(5) }, 5,
        { 2, { "a" } } },
    { "the zones arrive after the response", { responseOf(5, 2), evacuated_zones { 2, { "a" } }, tableOf(5) }, 5,
        { 2, { "a" } } },
    { "the zones are older than the response", { responseOf(5, 2), evacuated_zones { 1, {} }, tableOf(5) }, 5,
        { 1, {} } },
    { "a host that has not read the log", { responseOf(0, 0), tableOf(5) }, 0, {} },
    { "messages are repeated and arrive out of order",
        { evacuated_zones { 3, { "b" } }, responseOf(5, 2), evacuated_zones { 2, { "a" } },
            evacuated_zones { 3, { "b" } }, tableOf(5), tableOf(5) },
        5, { 3, { "b" } } },
};

// Guards against a balancer that has just started and places flows before it knows the evacuated zones.
BOOST_DATA_TEST_CASE_F(control_fixture, starting_balancer_learns_the_evacuated_zones_before_routes, startRows, row)
{
    balancer_probe probe(settingsOf(9, { 1 }, host_role::Balancer));
    for (auto const& message : row.messages)
        probe.control.receive({ addressOf(1), 27'921 }, message, bootTime());
    BOOST_TEST(probe.router.version() == row.routesVersion);
    BOOST_CHECK(probe.router.pool().evacuations() == row.evacuations);
}

// Guards against a balancer that waits for its next hello message when the first configuration of a deployment arrives.
BOOST_FIXTURE_TEST_CASE(dropped_routes_make_the_balancer_ask_for_the_zones_at_once, control_fixture)
{
    auto controlHost = peer_channel::create({ addressOf(1), 27'921 }).value();
    balancer_probe probe(settingsOf(9, { 1 }, host_role::Balancer));
    probe.control.receive({ addressOf(1), 27'921 }, responseOf(0, 0), bootTime());
    // The balancer has requested the servers.
    std::this_thread::sleep_for(milliseconds(50));
    bool isEmpty = false;
    while (!isEmpty)
        controlHost.receive(bootTime(), isEmpty);
    probe.control.receive({ addressOf(1), 27'921 }, tableOf(5), bootTime());
    std::this_thread::sleep_for(milliseconds(50));
    auto const message = controlHost.receive(bootTime(), isEmpty);
    BOOST_REQUIRE(message);
    BOOST_CHECK(std::holds_alternative<hello_message>(message->message));
}

struct unknown_row {
    char const* name;
    std::string zone;
};
std::ostream& operator<<(std::ostream& stream, unknown_row const& row) { return stream << row.name; }

unknown_row const unknownRows[] = {
    { "no zone", "" },
    { "another deployment's zone", "z" },
    { "line break", "a\nb" },
    { "long name", std::string(10'000, 'a') },
};

// Guards against an order that is stored for a zone that no server is in.
BOOST_DATA_TEST_CASE_F(control_fixture, unknown_zone_is_refused, unknownRows, row)
{
    running_control_host const host(settingsOf(1, { 1 }), metrics);
    for (auto const change : { begin, end })
        BOOST_CHECK(errorKindOf(host.service->order({ row.zone, change }).status) == error_kind::InvalidArgument);
}

// Guards against orders that a later or an older configuration undoes.
BOOST_FIXTURE_TEST_CASE(configurations_leave_evacuations_in_force, control_fixture)
{
    running_control_host const host(settingsOf(1, { 1 }), metrics);
    balancer_probe probe(settingsOf(9, { 1 }, host_role::Balancer));
    BOOST_REQUIRE(storeWithin(*host.service, 5, seconds(8)).status.ok());
    BOOST_REQUIRE(host.service->order({ "a", begin }).status.ok());
    BOOST_REQUIRE(host.service->store({ 7, "7" }).status.ok());
    BOOST_REQUIRE(host.service->store({ 6, "6" }).status.ok());
    BOOST_TEST(obeysWithin(probe, { "a" }, milliseconds(2'000)));
    BOOST_REQUIRE(host.service->order({ "a", end }).status.ok());
    BOOST_TEST(obeysWithin(probe, {}, milliseconds(2'000)));
    BOOST_TEST(probe.router.pool().evacuations().revision == 2u);
}

// Guards against an end that is acknowledged while the begin of a caller that timed out is still uncommitted: the zone
// would be evacuated after it.
BOOST_FIXTURE_TEST_CASE(end_is_not_acknowledged_before_an_uncommitted_begin, control_fixture)
{
    running_control_host const first(settingsOf(1, { 1, 2, 3 }), metrics);
    running_control_host const second(settingsOf(2, { 1, 2, 3 }), metrics);
    running_control_host const third(settingsOf(3, { 1, 2, 3 }), metrics);
    std::vector<running_control_host const*> const hosts { &first, &second, &third };
    BOOST_REQUIRE(storeAtLeader({ first.service.get(), second.service.get(), third.service.get() }, 5));
    running_control_host const* leader = nullptr;
    for (auto const* const host : hosts) {
        if (host->service->read().status.ok())
            leader = host;
    }
    BOOST_REQUIRE(leader);
    auto const setFollowersSuspended = [&](bool isSuspended) {
        for (auto const* const host : hosts) {
            if (host != leader)
                host->setSuspended(isSuspended);
        }
    };
    setFollowersSuspended(true);
    std::this_thread::sleep_for(milliseconds(200));
    auto const send = [&](evacuation_change change) {
        return std::async(std::launch::async, [leader, change] { return leader->service->order({ "a", change }); });
    };
    auto begun = send(begin);
    std::this_thread::sleep_for(milliseconds(60));
    auto ended = send(end);
    BOOST_CHECK(ended.wait_for(milliseconds(100)) == std::future_status::timeout);
    setFollowersSuspended(false);
    begun.wait();
    ended.wait();
    BOOST_REQUIRE(orderAtLeader({ leader->service.get() }, { "b", begin }));
    balancer_probe probe(settingsOf(9, { 1, 2, 3 }, host_role::Balancer));
    BOOST_TEST(obeysWithin(probe, { "b" }, milliseconds(2'000)));
}

// Guards against an order that is executed after its caller was told to repeat it, and maybe has sent the opposite one.
BOOST_FIXTURE_TEST_CASE(order_that_timed_out_in_the_queue_is_not_executed, control_fixture)
{
    running_control_host const host(settingsOf(1, { 1 }), metrics);
    BOOST_REQUIRE(storeWithin(*host.service, 5, seconds(8)).status.ok());
    host.setSuspended(true);
    std::this_thread::sleep_for(milliseconds(800));
    BOOST_CHECK(errorKindOf(host.service->order({ "a", begin }).status) == error_kind::Unavailable);
    host.setSuspended(false);
    host.service->wake().raise();
    std::this_thread::sleep_for(milliseconds(300));
    BOOST_REQUIRE(orderAtLeader({ host.service.get() }, { "b", begin }));
    balancer_probe probe(settingsOf(9, { 1 }, host_role::Balancer));
    BOOST_TEST(obeysWithin(probe, { "b" }, milliseconds(2'000)));
}

// Guards against balancers that place flows in an evacuated zone after a power loss of everything, until a leader is
// elected.
BOOST_FIXTURE_TEST_CASE(saved_evacuations_are_obeyed_before_a_leader_is_elected, control_fixture)
{
    auto const settings = settingsOf(1, { 1, 2, 3 });
    {
        running_control_host const first(settings, metrics);
        running_control_host const second(settingsOf(2, { 1, 2, 3 }), metrics);
        std::vector const hosts { first.service.get(), second.service.get() };
        BOOST_REQUIRE(storeAtLeader(hosts, 5));
        BOOST_REQUIRE(orderAtLeader(hosts, { "a", begin }));
        std::this_thread::sleep_for(milliseconds(1'000));
    }
    running_control_host const restartedHost(settings, metrics);
    balancer_probe probe(settingsOf(9, { 1 }, host_role::Balancer));
    for (auto const limit = bootTime() + seconds(2); probe.router.version() == 0 && bootTime() < limit;)
        probe.run(milliseconds(5));
    BOOST_TEST(probe.router.version() == 5u);
    BOOST_CHECK((probe.router.pool().evacuations() == evacuated_zones { 1, { "a" } }));
    BOOST_CHECK(errorKindOf(restartedHost.service->order({ "a", end }).status) == error_kind::Unavailable);
}

// Guards against orders without effect after the log was lost: balancers ignored the low revisions of the new one.
BOOST_FIXTURE_TEST_CASE(orders_of_a_new_log_reach_balancers_that_know_the_lost_one, control_fixture)
{
    auto const settings = settingsOf(1, { 1 });
    balancer_probe probe(settingsOf(9, { 1 }, host_role::Balancer));
    {
        running_control_host const host(settings, metrics);
        BOOST_REQUIRE(storeWithin(*host.service, 5, seconds(8)).status.ok());
        for (auto const change : { begin, end, begin })
            BOOST_REQUIRE(host.service->order({ "a", change }).status.ok());
        BOOST_REQUIRE(obeysWithin(probe, { "a" }, milliseconds(2'000)));
    }
    std::filesystem::remove_all(settings.dataFolder);
    std::filesystem::create_directories(settings.dataFolder);
    running_control_host const host(settings, metrics);
    BOOST_REQUIRE(storeWithin(*host.service, 5, seconds(8)).status.ok());
    BOOST_TEST(!obeysWithin(probe, {}, milliseconds(1'500)));
    BOOST_REQUIRE(host.service->order({ "a", end }).status.ok());
    BOOST_TEST(obeysWithin(probe, {}, milliseconds(2'000)));
}

// Guards against a balancer that was suspended while an evacuation started or ended, and missed the messages.
BOOST_FIXTURE_TEST_CASE(resumed_balancer_learns_what_it_missed, control_fixture)
{
    running_control_host const host(settingsOf(1, { 1 }), metrics);
    BOOST_REQUIRE(storeWithin(*host.service, 5, seconds(8)).status.ok());
    auto const settings = settingsOf(9, { 1 }, host_role::Balancer);
    {
        balancer_probe probe(settings);
        BOOST_REQUIRE(host.service->order({ "a", begin }).status.ok());
        BOOST_REQUIRE(obeysWithin(probe, { "a" }, milliseconds(2'000)));
        BOOST_REQUIRE(host.service->order({ "a", end }).status.ok());
        BOOST_REQUIRE(host.service->order({ "b", begin }).status.ok());
        std::this_thread::sleep_for(milliseconds(300));
        BOOST_TEST(obeysWithin(probe, { "b" }, milliseconds(2'000)));
    }
}

} // namespace
