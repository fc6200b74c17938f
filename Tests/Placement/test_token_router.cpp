#include "placement_fixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace bilberryyard;

namespace {

struct continued_row {
    char const* name;
    backend_state state;
    std::optional<reset_reason> reset;
};
std::ostream& operator<<(std::ostream& stream, continued_row const& row) { return stream << row.name; }

continued_row const continuedRows[] = {
    { "ready", backend_state::Ready, std::nullopt },
    { "draining", backend_state::Draining, std::nullopt },
    { "gone", backend_state::Gone, reset_reason::ServerGone },
};

// Guards against an open flow that depends on the balancer that opened it: another one, which has never seen the
// flow, forwards its packets by the token alone.
BOOST_DATA_TEST_CASE(open_flow_stays_with_its_server_at_any_balancer, continuedRows, row)
{
    placement_fixture other;
    other.announce(1);
    other.announce(2);
    other.announce(2, "a", row.state);
    auto const decision = other.request(40'000, placement_fixture::tokenOf(2));
    BOOST_CHECK(placement_fixture::resetOf(decision) == row.reset);
    if (!row.reset)
        BOOST_TEST(placement_fixture::targetOf(decision).value() == placement_fixture::tokenOf(2));
}

// Guards against a reset of a live flow whose server this balancer has not heard of yet.
BOOST_AUTO_TEST_CASE(unknown_token_is_dropped_without_a_reset)
{
    placement_fixture fixture;
    fixture.announce(1);
    auto const decision = fixture.request(40'000, placement_fixture::tokenOf(9));
    BOOST_CHECK(placement_fixture::discardOf(decision) == discard_reason::UnknownToken);
}

// Guards against an open flow that a new configuration breaks.
BOOST_AUTO_TEST_CASE(new_configuration_leaves_open_flows_where_they_are)
{
    placement_fixture fixture;
    fixture.announce(1);
    auto const token = fixture.openAnswered(40'000);
    route_table table;
    table.version = 2;
    table.services = { { "gallery", 0 } };
    service_route route;
    route.services = { { 0, 1 } };
    table.routes[placement_fixture::service_address(placement_fixture::idempotentPort)] = route;
    BOOST_TEST(fixture.router.setRoutes(std::make_shared<route_table const>(table)));
    BOOST_TEST(placement_fixture::targetOf(fixture.request(40'000, token)).value() == token);
}

// Guards against a balancer that goes back to an older configuration.
BOOST_AUTO_TEST_CASE(older_configuration_is_ignored)
{
    placement_fixture fixture;
    route_table table;
    table.version = 1;
    BOOST_TEST(!fixture.router.setRoutes(std::make_shared<route_table const>(table)));
    BOOST_TEST(fixture.router.routes()->routes.size() == 3u);
}

struct refused_row {
    char const* name;
    uint16_t port;
    backend_state state;
    int leavingMs;
    std::optional<reset_reason> reset;
};
std::ostream& operator<<(std::ostream& stream, refused_row const& row) { return stream << row.name; }

refused_row const refusedRows[] = {
    { "address without a route", 1, backend_state::Ready, 0, reset_reason::NoRoute },
    { "service without servers", placement_fixture::downloadPort, backend_state::Ready, 0, reset_reason::NoServer },
    { "all servers gone", placement_fixture::idempotentPort, backend_state::Gone, 0, reset_reason::NoServer },
    { "all servers leaving for long", placement_fixture::idempotentPort, backend_state::Draining, 2'000,
        reset_reason::NoServer },
    { "all servers just began to leave", placement_fixture::idempotentPort, backend_state::Draining, 500,
        std::nullopt },
    { "a ready server", placement_fixture::idempotentPort, backend_state::Ready, 0, std::nullopt },
};

// Guards against a caller that waits for a flow that nobody can take.
BOOST_DATA_TEST_CASE(handshake_that_cannot_be_served_is_rejected_at_once, refusedRows, row)
{
    placement_fixture fixture;
    fixture.announce(1);
    fixture.announce(1, "a", row.state);
    fixture.pass(row.leavingMs);
    BOOST_CHECK(placement_fixture::resetOf(fixture.open(40'000, 0, row.port)) == row.reset);
}

// Guards against a lost packet that gives a caller two servers for one flow.
BOOST_AUTO_TEST_CASE(repeated_handshake_goes_to_the_same_server)
{
    placement_fixture fixture;
    fixture.announce(1);
    fixture.announce(2);
    auto const token = placement_fixture::targetOf(fixture.open(40'000)).value();
    // Other callers are answered by the server meanwhile.
    fixture.pass(10);
    for (uint16_t caller = 41'000; caller < 41'200; ++caller)
        fixture.openAnswered(caller);
    fixture.pass(200);
    BOOST_TEST(placement_fixture::targetOf(fixture.open(40'000, 1)).value() == token);
}

// Guards against a handshake that waits for a dead server until its caller gives up.
BOOST_AUTO_TEST_CASE(repeated_handshake_leaves_a_server_that_answers_nobody)
{
    placement_fixture fixture;
    for (int number = 1; number <= 8; ++number)
        fixture.announce(number);
    auto const token = placement_fixture::targetOf(fixture.open(40'000)).value();
    fixture.pass(200);
    BOOST_TEST(placement_fixture::targetOf(fixture.open(40'000, 1)).value() != token);
}

// Guards against weights that are not kept.
BOOST_AUTO_TEST_CASE(split_route_follows_its_weights)
{
    placement_fixture fixture;
    fixture.announce(1);
    fixture.announce(2, "a", backend_state::Ready, "gallery");
    route_table table;
    table.version = 2;
    table.services = { { "orders", 0 }, { "gallery", 0 } };
    service_route route;
    route.services = { { 0, 90 }, { 1, 10 } };
    table.routes[placement_fixture::service_address(placement_fixture::idempotentPort)] = route;
    fixture.router.setRoutes(std::make_shared<route_table const>(table));
    std::map<uint32_t, int> flows;
    for (uint16_t caller = 0; caller < 10'000; ++caller)
        ++flows[placement_fixture::targetOf(fixture.open(static_cast<uint16_t>(20'000 + caller))).value()];
    BOOST_TEST(flows[placement_fixture::tokenOf(2)] > 900);
    BOOST_TEST(flows[placement_fixture::tokenOf(2)] < 1'100);
}

} // namespace
