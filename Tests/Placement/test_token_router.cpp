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

// Guards against open flows that depend on the balancer that handled their handshake: another balancer, which has never
// seen the flow, must forward its packets by the token alone.
BOOST_DATA_TEST_CASE(open_flow_stays_with_its_server_through_any_balancer, continuedRows, row)
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

// Guards against a reset of an open flow whose server this balancer has not discovered yet.
BOOST_AUTO_TEST_CASE(unknown_token_is_dropped_without_a_reset)
{
    placement_fixture fixture;
    fixture.announce(1);
    auto const decision = fixture.request(40'000, placement_fixture::tokenOf(9));
    BOOST_CHECK(placement_fixture::discardOf(decision) == discard_reason::UnknownToken);
}

// Guards against open flows that break when a new configuration no longer routes to their service.
BOOST_AUTO_TEST_CASE(new_configuration_keeps_open_flows_on_their_servers)
{
    placement_fixture fixture;
    fixture.announce(1);
    auto const token = fixture.openEstablished(40'000);
    route_table table;
    table.version = 2;
    table.services = { { "gallery", 0 } };
    service_route route;
    route.services = { { 0, 1 } };
    table.routes[placement_fixture::serviceAddress(placement_fixture::idempotentPort)] = route;
    BOOST_TEST(fixture.router.setRoutes(std::make_shared<route_table const>(table)));
    BOOST_TEST(placement_fixture::targetOf(fixture.request(40'000, token)).value() == token);
}

// Guards against a balancer that reverts to an older configuration.
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
    int drainingMs;
    std::optional<reset_reason> reset;
};
std::ostream& operator<<(std::ostream& stream, refused_row const& row) { return stream << row.name; }

refused_row const refusedRows[] = {
    { "address without a route", 1, backend_state::Ready, 0, reset_reason::NoRoute },
    { "service without servers", placement_fixture::downloadPort, backend_state::Ready, 0, reset_reason::NoServer },
    { "all servers removed", placement_fixture::idempotentPort, backend_state::Gone, 0, reset_reason::NoServer },
    { "all servers draining for long", placement_fixture::idempotentPort, backend_state::Draining, 2'000,
        reset_reason::NoServer },
    { "all servers recently draining", placement_fixture::idempotentPort, backend_state::Draining, 500, std::nullopt },
    { "a ready server", placement_fixture::idempotentPort, backend_state::Ready, 0, std::nullopt },
};

// Guards against callers that wait for a response although no server accepts the flow.
BOOST_DATA_TEST_CASE(handshake_that_cannot_be_served_is_rejected_at_once, refusedRows, row)
{
    placement_fixture fixture;
    fixture.announce(1);
    fixture.announce(1, "a", row.state);
    fixture.advance(row.drainingMs);
    BOOST_CHECK(placement_fixture::resetOf(fixture.open(40'000, 0, row.port)) == row.reset);
}

// Guards against a retransmitted handshake packet that is forwarded to a second server.
BOOST_AUTO_TEST_CASE(repeated_handshake_goes_to_the_same_server)
{
    placement_fixture fixture;
    fixture.announce(1);
    fixture.announce(2);
    auto const token = placement_fixture::targetOf(fixture.open(40'000)).value();
    // The server completes handshakes of other callers meanwhile.
    fixture.advance(10);
    for (uint16_t caller = 41'000; caller < 41'200; ++caller)
        fixture.openEstablished(caller);
    fixture.advance(200);
    BOOST_TEST(placement_fixture::targetOf(fixture.open(40'000, 1)).value() == token);
}

// Guards against a handshake that is repeated at an unresponsive server until its caller times out.
BOOST_AUTO_TEST_CASE(repeated_handshake_switches_from_an_unresponsive_server)
{
    placement_fixture fixture;
    for (int number = 1; number <= 8; ++number)
        fixture.announce(number);
    auto const token = placement_fixture::targetOf(fixture.open(40'000)).value();
    fixture.advance(200);
    BOOST_TEST(placement_fixture::targetOf(fixture.open(40'000, 1)).value() != token);
}

// Guards against new flows that are not split between services by the weights of the route.
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
    table.routes[placement_fixture::serviceAddress(placement_fixture::idempotentPort)] = route;
    fixture.router.setRoutes(std::make_shared<route_table const>(table));
    std::map<uint32_t, int> flows;
    for (uint16_t caller = 0; caller < 10'000; ++caller)
        ++flows[placement_fixture::targetOf(fixture.open(static_cast<uint16_t>(20'000 + caller))).value()];
    BOOST_TEST(flows[placement_fixture::tokenOf(2)] > 900);
    BOOST_TEST(flows[placement_fixture::tokenOf(2)] < 1'100);
}

} // namespace
