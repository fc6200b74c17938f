// Each test names the load that it plays against the placement of new flows.
#include "placement_fixture.h"

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>

using namespace bilberryyard;

namespace {

std::map<uint32_t, int> placeFlows(placement_fixture& fixture, int count, uint16_t port, uint16_t firstCaller)
{
    std::map<uint32_t, int> flows;
    for (int number = 0; number < count; ++number) {
        auto const caller = static_cast<uint16_t>(firstCaller + number);
        ++flows[placement_fixture::targetOf(fixture.open(caller, 0, port)).value()];
    }
    return flows;
}

// Even load: many callers at once spread over servers of one zone.
BOOST_AUTO_TEST_CASE(simultaneous_flows_spread_evenly)
{
    placement_fixture fixture;
    for (int number = 1; number <= 5; ++number)
        fixture.announce(number);
    auto const flows = placeFlows(fixture, 500, placement_fixture::idempotentPort, 20'000);
    for (auto const& [token, count] : flows)
        BOOST_TEST(count == 100);
}

struct zone_row {
    char const* name;
    int flows;
    bool leavesZone;
};
std::ostream& operator<<(std::ostream& stream, zone_row const& row) { return stream << row.name; }

zone_row const zoneRows[] = {
    { "a few flows stay in the zone", 4, false },
    { "a crowd uses every zone", 60, true },
};

// Zone-local load: bytes between zones cost, waiting costs more.
BOOST_DATA_TEST_CASE(own_zone_goes_first_until_it_is_busier, zoneRows, row)
{
    placement_fixture fixture;
    for (int number = 1; number <= 3; ++number)
        fixture.announce(number, "a");
    for (int number = 4; number <= 9; ++number)
        fixture.announce(number, "b");
    auto const flows = placeFlows(fixture, row.flows, placement_fixture::idempotentPort, 20'000);
    auto const leftZone = std::any_of(flows.begin(), flows.end(),
        [&](auto const& item) { return fixture.router.pool().find(item.first)->entry.announcement.zone == "b"; });
    BOOST_TEST(leftZone == row.leavesZone);
}

// Long idle flows: feeds that are open and silent do not drive new flows out of the zone.
BOOST_AUTO_TEST_CASE(idle_feeds_hardly_count)
{
    placement_fixture fixture;
    fixture.announce(1, "a");
    fixture.announce(2, "b");
    for (uint16_t caller = 20'000; caller < 20'030; ++caller)
        fixture.openAnswered(caller);
    BOOST_TEST(placement_fixture::targetOf(fixture.open(30'000)).value() == placement_fixture::tokenOf(1));
}

// Slow server: one of five takes five times as long, and gets a small part of the flows.
BOOST_AUTO_TEST_CASE(slow_server_gets_fewer_flows)
{
    placement_fixture fixture;
    for (int number = 1; number <= 5; ++number)
        fixture.announce(number);
    std::map<uint32_t, int> flows;
    uint16_t caller = 10'000;
    for (int round = 0; round < 200; ++round) {
        fixture.announce(1 + round % 5);
        auto const token = fixture.openAnswered(caller);
        fixture.request(caller, token);
        fixture.pass(token == placement_fixture::tokenOf(1) ? 100 : 20);
        fixture.acknowledgeAnswer(caller, token);
        if (round >= 50)
            ++flows[token];
        ++caller;
    }
    BOOST_TEST(flows[placement_fixture::tokenOf(1)] < 20);
}

struct kind_row {
    char const* name;
    uint16_t port;
    std::optional<reset_reason> reset;
};
std::ostream& operator<<(std::ostream& stream, kind_row const& row) { return stream << row.name; }

kind_row const kindRows[] = {
    { "idempotent", placement_fixture::idempotentPort, reset_reason::ServerSilent },
    { "not idempotent", placement_fixture::nonIdempotentPort, std::nullopt },
};

// Crashed server: callers of idempotent requests are sent elsewhere before their deadline; a request that may have
// run is left to its caller.
BOOST_DATA_TEST_CASE(flows_of_a_server_that_answers_nobody_are_reset, kindRows, row)
{
    placement_fixture fixture;
    fixture.announce(1);
    auto const token = fixture.openAnswered(20'000, row.port);
    for (uint16_t caller = 20'001; caller < 20'004; ++caller)
        fixture.openAnswered(caller, row.port);
    for (int number = 2; number <= 4; ++number)
        fixture.announce(number);
    fixture.pass(1'000);
    for (uint16_t caller = 20'000; caller < 20'004; ++caller)
        fixture.request(caller, token, 5'001, row.port);
    std::optional<reset_reason> reset;
    for (int repeat = 0; repeat < 2; ++repeat) {
        fixture.pass(200);
        for (uint16_t caller = 20'000; caller < 20'004; ++caller)
            reset = placement_fixture::resetOf(fixture.request(caller, token, 5'001, row.port));
    }
    BOOST_CHECK(reset == row.reset);
}

// Queue at a live server: it answers somebody, or a control host hears it, so nobody is reset.
BOOST_AUTO_TEST_CASE(busy_server_that_still_answers_keeps_its_flows)
{
    placement_fixture fixture;
    for (int number = 2; number <= 4; ++number)
        fixture.announce(number, "b");
    fixture.announce(1);
    for (uint16_t caller = 20'000; caller < 20'006; ++caller)
        BOOST_REQUIRE_EQUAL(fixture.openAnswered(caller), placement_fixture::tokenOf(1));
    auto const token = placement_fixture::tokenOf(1);
    for (uint16_t caller = 20'000; caller < 20'006; ++caller)
        fixture.request(caller, token);
    for (int repeat = 0; repeat < 5; ++repeat) {
        fixture.pass(200);
        fixture.acknowledgeAnswer(static_cast<uint16_t>(20'000 + repeat), token);
        fixture.request(20'005, token);
        BOOST_CHECK(!placement_fixture::resetOf(fixture.request(20'005, token)));
    }
}

struct backlog_row {
    char const* name;
    int waited;
    uint32_t unanswered;
};
std::ostream& operator<<(std::ostream& stream, backlog_row const& row) { return stream << row.name; }

backlog_row const backlogRows[] = {
    { "all at once", 0, 0 },
    { "soon after each other", 100, 0 },
    { "as callers send them", 200, 1 },
};

// Backlog after a pause: the balancer reads packets and their repetitions together, which says nothing about servers.
BOOST_DATA_TEST_CASE(repetitions_that_waited_with_the_first_packet_are_no_evidence, backlogRows, row)
{
    placement_fixture fixture;
    for (int number = 1; number <= 6; ++number)
        fixture.announce(number);
    auto const first = placement_fixture::targetOf(fixture.open(20'000)).value();
    auto const requested = fixture.openAnswered(20'001);
    fixture.pass(300);
    auto const opened = placement_fixture::targetOf(fixture.open(20'002)).value();
    fixture.request(20'001, requested);
    fixture.pass(row.waited);
    auto const repeated = placement_fixture::targetOf(fixture.open(20'002, 1)).value();
    fixture.request(20'001, requested);
    BOOST_TEST(fixture.router.pool().find(opened)->load.unanswered == row.unanswered);
    BOOST_TEST(fixture.router.pool().find(requested)->load.unanswered == row.unanswered);
    // Two servers that answer one handshake would leave the caller with two tokens.
    BOOST_TEST((repeated == opened) == (row.unanswered == 0));
    BOOST_TEST(fixture.router.pool().find(first)->load.unanswered == 0u);
}

// Partition: when most servers seem dead the path is at fault, and nothing is set aside.
BOOST_AUTO_TEST_CASE(few_servers_are_ejected_at_a_time)
{
    placement_fixture fixture;
    for (int number = 1; number <= 6; ++number)
        fixture.announce(number);
    for (uint16_t caller = 20'000; caller < 20'060; ++caller)
        fixture.open(caller);
    fixture.pass(200);
    for (uint16_t caller = 20'000; caller < 20'060; ++caller)
        fixture.open(caller, 1);
    int ejected = 0;
    for (int number = 1; number <= 6; ++number)
        ejected
            += fixture.router.pool().find(placement_fixture::tokenOf(number))->load.ejectedUntil > fixture.now ? 1 : 0;
    BOOST_TEST(ejected == 3);
}

// Outage of the control hosts: all servers fall silent together, which says nothing about them.
BOOST_AUTO_TEST_CASE(silence_of_everybody_ejects_nobody)
{
    placement_fixture fixture;
    for (int number = 1; number <= 3; ++number)
        fixture.announce(number);
    fixture.pass(60'000);
    fixture.router.pool().setDirectoryHealth(directory_health::Stale);
    auto const flows = placeFlows(fixture, 30, placement_fixture::idempotentPort, 20'000);
    BOOST_TEST(flows.size() == 3u);
}

// Restart of a server: one handshake at a time shows whether it is back.
BOOST_AUTO_TEST_CASE(ejected_server_is_tried_with_one_handshake)
{
    placement_fixture fixture;
    for (int number = 1; number <= 4; ++number)
        fixture.announce(number);
    auto const dead = placement_fixture::targetOf(fixture.open(20'000)).value();
    std::map<uint16_t, uint32_t> tokens;
    for (uint16_t caller = 20'001; caller < 20'012; ++caller)
        tokens[caller] = placement_fixture::targetOf(fixture.open(caller)).value();
    fixture.pass(10);
    for (auto const& [caller, token] : tokens) {
        if (token != dead)
            fixture.completeHandshake(caller, token);
    }
    fixture.pass(190);
    for (uint16_t caller = 20'000; caller < 20'012; ++caller)
        fixture.open(caller, 1);
    BOOST_REQUIRE(fixture.router.pool().find(dead)->load.ejectedUntil > fixture.now);
    fixture.pass(1'001);
    for (int number = 1; number <= 4; ++number)
        fixture.announce(number);
    fixture.router.sweep(fixture.now + std::chrono::seconds(1));
    auto const flows = placeFlows(fixture, 40, placement_fixture::idempotentPort, 30'000);
    BOOST_TEST(flows.at(dead) == 1);
}

} // namespace
