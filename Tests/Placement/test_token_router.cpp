#include "placement_fixture.h"

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <utility>

using namespace bilberryyard;

namespace {

struct continued_row {
    char const* name;
    backend_state state;
};
std::ostream& operator<<(std::ostream& stream, continued_row const& row) { return stream << row.name; }

continued_row const continuedRows[] = {
    { "ready", backend_state::Ready },
    { "draining", backend_state::Draining },
    { "gone", backend_state::Gone },
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
    BOOST_TEST(placement_fixture::targetOf(decision).value() == placement_fixture::tokenOf(2));
}

enum class caller_step : uint8_t {
    /// The same request each time.
    Request,
    AcknowledgeResponse,
    Finish,
    Abort,
    /// A caller of another flow acknowledges a response of the server.
    OtherCallerIsServed,
};

struct departed_row {
    char const* name;
    /// Whether the server leaves; otherwise another server takes over its address.
    bool leaves;
    /// What callers do, each with the time before it in milliseconds. Those with a negative time take
    /// place at the departure, immediately before it.
    std::vector<std::pair<int, caller_step>> steps;
    /// For the last step.
    std::optional<reset_reason> reset;
};
std::ostream& operator<<(std::ostream& stream, departed_row const& row) { return stream << row.name; }

departed_row const departedRows[] = {
    { "request", true, { { 5, caller_step::Request } }, std::nullopt },
    { "request after displacement", false, { { 5, caller_step::Request } }, std::nullopt },
    { "acknowledgement of the server's FIN", true, { { 5, caller_step::AcknowledgeResponse } }, std::nullopt },
    { "FIN in response to the server's", true, { { 5, caller_step::Finish } }, std::nullopt },
    { "caller aborts", true, { { 5, caller_step::Abort } }, std::nullopt },
    { "repeated request after a response to another caller", true,
        { { 5, caller_step::Request }, { 100, caller_step::OtherCallerIsServed }, { 100, caller_step::Request } },
        std::nullopt },
    { "request that was sent before, and its first repetition", true,
        { { -1, caller_step::Request }, { 210, caller_step::Request } }, std::nullopt },
    { "request that was sent before, and its second repetition", true,
        { { -1, caller_step::Request }, { 210, caller_step::Request }, { 400, caller_step::Request } },
        reset_reason::ServerGone },
    { "repeated request", true, { { 5, caller_step::Request }, { 200, caller_step::Request } },
        reset_reason::ServerGone },
    { "repeated request after displacement", false, { { 5, caller_step::Request }, { 200, caller_step::Request } },
        reset_reason::ServerGone },
};

// Guards against open flows that are reset because their server has announced that it leaves, or another one its
// address, while it still serves them.
BOOST_DATA_TEST_CASE(flow_of_a_departed_server_is_reset_only_without_a_response, departedRows, row)
{
    placement_fixture fixture;
    fixture.announce(1);
    auto const token = fixture.openEstablished(40'000, placement_fixture::nonIdempotentPort);
    auto const other = fixture.openEstablished(41'000, placement_fixture::nonIdempotentPort);
    fixture.request(41'000, other, 5'001, placement_fixture::nonIdempotentPort);
    fixture.advance(1'000);
    if (row.leaves)
        fixture.announce(1, "a", backend_state::Gone);
    else
        fixture.router.pool().setDisplacement(placement_fixture::nameOf(1), placement_fixture::nameOf(2), fixture.now);
    packet_decision decision;
    for (auto const& [delay, step] : row.steps) {
        BOOST_CHECK(!placement_fixture::resetOf(decision));
        fixture.advance(delay);
        auto packet = fixture.packetOf(40'000, placement_fixture::nonIdempotentPort);
        packet.token = token;
        packet.sequence = 1'001;
        packet.acknowledgement = 5'001;
        switch (step) {
        case caller_step::Request:
            packet.payloadBytes = 100;
            break;
        case caller_step::AcknowledgeResponse:
            packet.acknowledgement = 5'002;
            break;
        case caller_step::Finish:
            packet.purpose = packet_purpose::Finish;
            break;
        case caller_step::Abort:
            packet.purpose = packet_purpose::Abort;
            break;
        case caller_step::OtherCallerIsServed:
            fixture.acknowledgeResponse(41'000, other, placement_fixture::nonIdempotentPort);
            continue;
        }
        decision = fixture.router.decide(packet, fixture.now);
    }
    BOOST_CHECK(placement_fixture::resetOf(decision) == row.reset);
    if (!row.reset)
        BOOST_CHECK(placement_fixture::targetOf(decision) == std::optional(token));
}

struct stopped_row {
    char const* name;
    /// Callers that repeat a request without a response.
    uint16_t unanswered;
    /// State that the server has after that, and its start time.
    backend_state state;
    int64_t startedAtMs;
    /// Whether it responds to another caller then.
    bool responds;
    std::optional<reset_reason> reset;
};
std::ostream& operator<<(std::ostream& stream, stopped_row const& row) { return stream << row.name; }

stopped_row const stoppedRows[] = {
    { "one packet without a response, which may have been lost", 1, backend_state::Gone, 100, false, std::nullopt },
    { "gone and unresponsive", 2, backend_state::Gone, 100, false, reset_reason::ServerGone },
    { "gone, but responds again", 2, backend_state::Gone, 100, true, std::nullopt },
    { "next incarnation is ready", 2, backend_state::Ready, 200, false, std::nullopt },
    { "next incarnation is gone, too", 2, backend_state::Gone, 200, false, std::nullopt },
};

// Guards against callers that each wait for a repetition although others have shown that the server has stopped, and
// against the opposite: flows that are reset by outdated evidence, or because a packet of another flow was lost.
BOOST_DATA_TEST_CASE(stopped_server_is_remembered_until_it_shows_life, stoppedRows, row)
{
    placement_fixture fixture;
    fixture.announce(1);
    auto const token = fixture.openEstablished(40'000);
    for (uint16_t caller = 40'001; caller < 40'003; ++caller)
        fixture.openEstablished(caller);
    fixture.announce(1, "a", backend_state::Gone);
    fixture.advance(5);
    for (uint16_t caller = 0; caller < row.unanswered; ++caller)
        fixture.request(static_cast<uint16_t>(40'000 + caller), token);
    fixture.advance(200);
    for (uint16_t caller = 0; caller < row.unanswered; ++caller)
        BOOST_CHECK(placement_fixture::resetOf(fixture.request(static_cast<uint16_t>(40'000 + caller), token))
            == reset_reason::ServerGone);
    if (row.responds)
        fixture.router.pool().recordAcknowledgement(*fixture.router.pool().find(token), fixture.now);
    auto entry = fixture.router.pool().find(token)->entry;
    entry.announcement.state = row.state;
    entry.announcement.startedAtMs = row.startedAtMs;
    fixture.router.pool().update(entry, fixture.now);
    fixture.advance(5);
    BOOST_CHECK(placement_fixture::resetOf(fixture.request(40'002, token)) == row.reset);
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
    BOOST_TEST(fixture.router.routes()->routes.size() == 4u);
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

struct partial_row {
    char const* name;
    uint16_t port;
    std::optional<reset_reason> reset;
    std::optional<discard_reason> discard;
};
std::ostream& operator<<(std::ostream& stream, partial_row const& row) { return stream << row.name; }

partial_row const partialRows[] = {
    { "service without known servers", placement_fixture::downloadPort, std::nullopt, discard_reason::NoDirectory },
    { "service with a known server", placement_fixture::idempotentPort, std::nullopt, std::nullopt },
    { "address without a route", 1, reset_reason::NoRoute, std::nullopt },
};

// Guards against a balancer that has just started and refuses callers because it does not know the servers yet.
BOOST_DATA_TEST_CASE(handshake_is_not_refused_for_lack_of_a_directory, partialRows, row)
{
    placement_fixture fixture;
    fixture.router.pool().setDirectoryCoverage(directory_coverage::Partial);
    fixture.announce(1);
    auto const decision = fixture.open(40'000, 0, row.port);
    BOOST_CHECK(placement_fixture::resetOf(decision) == row.reset);
    BOOST_CHECK(placement_fixture::discardOf(decision) == row.discard);
    // The caller repeats the packet until the directory is complete.
    fixture.router.pool().setDirectoryCoverage(directory_coverage::Complete);
    fixture.announce(2, "a", backend_state::Ready, "gallery");
    BOOST_CHECK(placement_fixture::resetOf(fixture.open(40'000, 1, row.port)) == row.reset);
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

enum class opened_through : uint8_t {
    ThisBalancer,
    AnotherBalancer,
};

enum class later_event : uint8_t {
    None,
    ServiceIsOverloaded,
    RouteIsRemoved,
    ServerDrains,
    ServerLeaves,
    ServerIsUnresponsive,
};

struct delayed_row {
    char const* name;
    opened_through path;
    later_event event;
};
std::ostream& operator<<(std::ostream& stream, delayed_row const& row) { return stream << row.name; }

delayed_row const delayedRows[] = {
    { "nothing has changed", opened_through::ThisBalancer, later_event::None },
    { "opened through another balancer", opened_through::AnotherBalancer, later_event::None },
    { "overloaded", opened_through::ThisBalancer, later_event::ServiceIsOverloaded },
    { "overloaded, opened through another balancer", opened_through::AnotherBalancer,
        later_event::ServiceIsOverloaded },
    { "route removed", opened_through::ThisBalancer, later_event::RouteIsRemoved },
    { "server draining", opened_through::ThisBalancer, later_event::ServerDrains },
    { "server draining, opened through another balancer", opened_through::AnotherBalancer, later_event::ServerDrains },
    { "server has left, opened through another balancer", opened_through::AnotherBalancer, later_event::ServerLeaves },
    { "server unresponsive", opened_through::ThisBalancer, later_event::ServerIsUnresponsive },
};

void removeRoutes(placement_fixture& fixture)
{
    route_table table;
    table.version = 2;
    table.services = { { "orders", 2'000 }, { "gallery", 2'000 } };
    fixture.router.setRoutes(std::make_shared<route_table const>(table));
}

// Guards against a delayed repetition of a handshake packet that resets a flow which has been established meanwhile,
// places it at a second server, or discards what the balancer has observed of it.
BOOST_DATA_TEST_CASE(delayed_handshake_packet_does_not_affect_an_established_flow, delayedRows, row)
{
    placement_fixture fixture;
    fixture.announce(1);
    fixture.announce(2);
    auto const token = row.path == opened_through::ThisBalancer
        ? placement_fixture::targetOf(fixture.open(40'000)).value()
        : placement_fixture::tokenOf(2);
    fixture.completeHandshake(40'000, token);
    fixture.request(40'000, token);
    auto& backend = *fixture.router.pool().find(token);
    switch (row.event) {
    case later_event::None:
        break;
    case later_event::ServiceIsOverloaded:
        fixture.overload();
        BOOST_CHECK(placement_fixture::resetOf(fixture.open(41'000)) == reset_reason::Overloaded);
        break;
    case later_event::RouteIsRemoved:
        removeRoutes(fixture);
        break;
    case later_event::ServerDrains:
        fixture.announce(token == placement_fixture::tokenOf(1) ? 1 : 2, "a", backend_state::Draining);
        fixture.advance(2'000);
        break;
    case later_event::ServerLeaves:
        fixture.announce(token == placement_fixture::tokenOf(1) ? 1 : 2, "a", backend_state::Gone);
        break;
    case later_event::ServerIsUnresponsive:
        fixture.advance(200);
        fixture.request(40'000, token);
        break;
    }
    auto const load = backend.load;
    for (uint32_t count = 0; count < 3; ++count)
        BOOST_CHECK(placement_fixture::targetOf(fixture.open(40'000, count)) == std::optional(token));
    BOOST_TEST(backend.load.opening == load.opening);
    BOOST_TEST(backend.load.open == load.open);
    BOOST_TEST(backend.load.busy == load.busy);
}

enum class first_transmission : uint8_t {
    NotSent,
    ForwardedByAnotherBalancer,
    RefusedByThisBalancer,
};

struct repeated_row {
    char const* name;
    first_transmission first;
    later_event event;
    std::optional<reset_reason> reset;
};
std::ostream& operator<<(std::ostream& stream, repeated_row const& row) { return stream << row.name; }

repeated_row const repeatedRows[] = {
    { "new flow while overloaded", first_transmission::NotSent, later_event::ServiceIsOverloaded,
        reset_reason::Overloaded },
    { "admitted by another balancer before the overload", first_transmission::ForwardedByAnotherBalancer,
        later_event::ServiceIsOverloaded, std::nullopt },
    { "sent before its caller received the refusal", first_transmission::RefusedByThisBalancer,
        later_event::ServiceIsOverloaded, reset_reason::Overloaded },
    { "no longer routed", first_transmission::ForwardedByAnotherBalancer, later_event::RouteIsRemoved,
        reset_reason::NoRoute },
    { "no server left", first_transmission::ForwardedByAnotherBalancer, later_event::ServerLeaves,
        reset_reason::NoServer },
};

// Guards against callers that are refused by a second balancer, to which the repetition of a handshake packet was
// routed, although the first one has admitted the flow.
BOOST_DATA_TEST_CASE(repeated_handshake_is_refused_only_if_its_flow_cannot_be_served, repeatedRows, row)
{
    placement_fixture first;
    placement_fixture second;
    first.announce(1);
    second.announce(1);
    if (row.event == later_event::ServiceIsOverloaded)
        second.overload();
    else if (row.event == later_event::RouteIsRemoved)
        removeRoutes(second);
    else
        second.announce(1, "a", backend_state::Gone);
    if (row.first == first_transmission::ForwardedByAnotherBalancer)
        BOOST_CHECK(placement_fixture::targetOf(first.open(40'000)));
    if (row.first == first_transmission::RefusedByThisBalancer)
        BOOST_CHECK(placement_fixture::resetOf(second.open(40'000)) == reset_reason::Overloaded);
    auto const count = row.first == first_transmission::NotSent ? 0u : 1u;
    BOOST_CHECK(placement_fixture::resetOf(second.open(40'000, count)) == row.reset);
}

// Guards against wrong loads after a refusal that did not reach the caller before the flow was established through
// another balancer.
BOOST_AUTO_TEST_CASE(refused_flow_is_tracked_once_it_is_established)
{
    placement_fixture fixture;
    fixture.announce(1);
    fixture.overload();
    BOOST_CHECK(placement_fixture::resetOf(fixture.open(40'000)) == reset_reason::Overloaded);
    auto const token = placement_fixture::tokenOf(1);
    fixture.request(40'000, token);
    auto const& load = fixture.router.pool().find(token)->load;
    BOOST_TEST(load.opening == 0u);
    BOOST_TEST(load.open == 1u);
    BOOST_TEST(load.busy == 1u);
}

// Guards against a new flow that is taken for a repetition of an earlier one with the same endpoints, whose end passed
// through another balancer.
BOOST_AUTO_TEST_CASE(new_flow_with_the_endpoints_of_an_earlier_one_is_placed)
{
    placement_fixture fixture;
    fixture.announce(1);
    auto const token = fixture.openEstablished(40'000);
    fixture.announce(1, "a", backend_state::Gone);
    fixture.announce(2);
    auto packet = fixture.packetOf(40'000);
    packet.purpose = packet_purpose::Open;
    for (uint32_t const sequence : { 2'000'000'000u, 4'000'000'000u }) {
        packet.sequence = sequence;
        BOOST_CHECK(placement_fixture::targetOf(fixture.router.decide(packet, fixture.now))
            == std::optional(placement_fixture::tokenOf(2)));
    }
    BOOST_TEST(fixture.router.pool().find(token)->load.open == 0u);
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

struct earlier_flow_row {
    char const* name;
    /// Whether the caller completed its handshake with the server that this balancer had chosen.
    bool isEstablished;
};
std::ostream& operator<<(std::ostream& stream, earlier_flow_row const& row) { return stream << row.name; }

earlier_flow_row const earlierFlowRows[] = {
    { "handshake completed by another server", false },
    { "port used again through another balancer", true },
};

// Two servers; caller 40,000 has a flow that this balancer placed at one of them, and sends a request to the other.
struct moved_flow_fixture : placement_fixture {
    uint32_t placed = noToken;
    uint32_t other = noToken;

    explicit moved_flow_fixture(earlier_flow_row const& row)
    {
        announce(1);
        announce(2);
        placed = targetOf(open(40'000)).value();
        other = placed == tokenOf(1) ? tokenOf(2) : tokenOf(1);
        if (row.isEstablished)
            completeHandshake(40'000, placed);
        // No announcement arrives in this time, so the observed packets decide on resets.
        advance(3'000);
        router.decide(requestTo(other), now);
    }
    caller_packet requestTo(uint32_t token) const
    {
        auto packet = packetOf(40'000);
        packet.token = token;
        packet.sequence = 900'001;
        packet.acknowledgement = 700'001;
        packet.payloadBytes = 100;
        return packet;
    }
    backend_load const& loadOf(uint32_t token) { return router.pool().find(token)->load; }
};

// Guards against resets of flows of a sound server because another server does not respond.
BOOST_DATA_TEST_CASE(repeated_packets_count_against_the_server_they_are_sent_to, earlierFlowRows, row)
{
    moved_flow_fixture fixture(row);
    for (uint16_t caller = 40'001; caller < 40'003; ++caller) {
        fixture.completeHandshake(caller, fixture.placed);
        fixture.request(caller, fixture.placed);
    }
    for (int repeat = 0; repeat < 3; ++repeat) {
        fixture.advance(200);
        fixture.router.decide(fixture.requestTo(fixture.other), fixture.now);
    }
    BOOST_TEST(fixture.loadOf(fixture.placed).retransmissionsSinceResponse == 0u);
    BOOST_TEST(fixture.loadOf(fixture.other).retransmissionsSinceResponse == 3u);
    auto const decision = fixture.request(40'001, fixture.placed);
    BOOST_TEST((placement_fixture::targetOf(decision) == std::optional(fixture.placed)));
}

// Guards against a crashed server that counts as responsive because another server responds.
BOOST_DATA_TEST_CASE(acknowledgements_count_for_the_server_they_are_sent_to, earlierFlowRows, row)
{
    moved_flow_fixture fixture(row);
    auto const before = fixture.loadOf(fixture.placed).lastResponseAt;
    fixture.advance(50);
    auto acknowledgement = fixture.requestTo(fixture.other);
    acknowledgement.sequence += acknowledgement.payloadBytes;
    acknowledgement.acknowledgement += 2'000;
    acknowledgement.payloadBytes = 0;
    fixture.router.decide(acknowledgement, fixture.now);
    BOOST_CHECK(fixture.loadOf(fixture.placed).lastResponseAt == before);
    BOOST_CHECK(fixture.loadOf(fixture.other).lastResponseAt == fixture.now);
    BOOST_TEST(fixture.loadOf(fixture.placed).open == 0u);
    BOOST_TEST(fixture.loadOf(fixture.placed).opening == 0u);
    BOOST_TEST(fixture.loadOf(fixture.other).open == 1u);
}

struct ending_row {
    char const* name;
    packet_purpose purpose;
};
std::ostream& operator<<(std::ostream& stream, ending_row const& row) { return stream << row.name; }

ending_row const endingRows[] = {
    { "late end of an earlier flow", packet_purpose::Finish },
    { "rejected second handshake response", packet_purpose::Abort },
};

// Guards against a flow that is no longer tracked because the end of an earlier flow of its port arrives late.
BOOST_DATA_TEST_CASE(end_of_another_flow_keeps_the_tracked_one, endingRows, row)
{
    moved_flow_fixture fixture(earlierFlowRows[0]);
    auto packet = fixture.packetOf(40'000);
    packet.token = fixture.placed;
    packet.purpose = row.purpose;
    auto const decision = fixture.router.decide(packet, fixture.now);
    BOOST_TEST((placement_fixture::targetOf(decision) == std::optional(fixture.placed)));
    BOOST_TEST(fixture.loadOf(fixture.other).busy == 1u);
}

struct late_packet_row {
    char const* name;
    packet_purpose purpose;
};
std::ostream& operator<<(std::ostream& stream, late_packet_row const& row) { return stream << row.name; }

late_packet_row const latePacketRows[] = {
    { "acknowledgement", packet_purpose::Continue },
    { "FIN", packet_purpose::Finish },
};

// Guards against a late packet of an earlier flow of the port, whose server has stopped, that resets the present flow
// or changes its server while it is in its handshake.
BOOST_DATA_TEST_CASE(late_packet_of_an_earlier_flow_affects_no_handshake, latePacketRows, row)
{
    placement_fixture fixture;
    fixture.announce(1);
    auto const earlier = fixture.openEstablished(40'000);
    fixture.openEstablished(41'000);
    fixture.openEstablished(41'001);
    fixture.announce(1, "a", backend_state::Gone);
    fixture.announce(2);
    for (int repeat = 0; repeat < 2; ++repeat) {
        fixture.advance(200);
        fixture.request(41'000, earlier);
        fixture.request(41'001, earlier);
    }
    auto packet = fixture.packetOf(40'000);
    packet.purpose = packet_purpose::Open;
    packet.sequence = 3'000'000'000;
    auto const present = placement_fixture::targetOf(fixture.router.decide(packet, fixture.now)).value();
    BOOST_TEST(present == placement_fixture::tokenOf(2));
    auto late = fixture.packetOf(40'000);
    late.token = earlier;
    late.sequence = 1'101;
    late.purpose = row.purpose;
    BOOST_CHECK(!placement_fixture::resetOf(fixture.router.decide(late, fixture.now)));
    packet.retransmissionCount = 1;
    BOOST_CHECK(placement_fixture::targetOf(fixture.router.decide(packet, fixture.now)) == std::optional(present));
    BOOST_TEST(fixture.router.pool().find(present)->load.opening == 1u);
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
