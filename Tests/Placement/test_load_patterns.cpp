// Placement of new flows under different load patterns; the comment of each test names its pattern.
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

// Even load: simultaneous flows of many callers are spread evenly over the servers of one zone.
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
    { "many flows use every zone", 60, true },
};

// Zone-local load: traffic between zones is expensive, but waiting for busy servers costs more.
BOOST_DATA_TEST_CASE(own_zone_is_preferred_until_it_is_busier, zoneRows, row)
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

// Long idle flows: open flows without requests must not move new flows to another zone.
BOOST_AUTO_TEST_CASE(idle_flows_add_little_load)
{
    placement_fixture fixture;
    fixture.announce(1, "a");
    fixture.announce(2, "b");
    for (uint16_t caller = 20'000; caller < 20'030; ++caller)
        fixture.openEstablished(caller);
    BOOST_TEST(placement_fixture::targetOf(fixture.open(30'000)).value() == placement_fixture::tokenOf(1));
}

// Slow server: one of five servers responds five times slower and gets a small share of the flows.
BOOST_AUTO_TEST_CASE(slow_server_gets_fewer_flows)
{
    placement_fixture fixture;
    for (int number = 1; number <= 5; ++number)
        fixture.announce(number);
    std::map<uint32_t, int> flows;
    uint16_t caller = 10'000;
    for (int round = 0; round < 200; ++round) {
        fixture.announce(1 + round % 5);
        auto const token = fixture.openEstablished(caller);
        fixture.request(caller, token);
        fixture.advance(token == placement_fixture::tokenOf(1) ? 100 : 20);
        fixture.acknowledgeResponse(caller, token);
        if (round >= 50)
            ++flows[token];
        ++caller;
    }
    BOOST_TEST(flows[placement_fixture::tokenOf(1)] < 20);
}

struct kind_row {
    char const* name;
    uint16_t port;
    /// Time since the server's last announcement when the first requests are sent.
    int announcedMs;
    std::optional<reset_reason> reset;
};
std::ostream& operator<<(std::ostream& stream, kind_row const& row) { return stream << row.name; }

kind_row const kindRows[] = {
    { "idempotent, overdue", placement_fixture::idempotentPort, 1'100, reset_reason::ServerUnresponsive },
    { "idempotent, not overdue", placement_fixture::idempotentPort, 700, std::nullopt },
    { "not idempotent, overdue", placement_fixture::nonIdempotentPort, 1'100, std::nullopt },
    { "upload, overdue", placement_fixture::uploadPort, 1'100, std::nullopt },
};

// Crashed server: flows with idempotent requests are reset in time for a retry at another server. Other flows are not
// reset, because their requests may have run already, nor are those of a server that only fails to respond.
BOOST_DATA_TEST_CASE(idempotent_flows_of_an_unresponsive_server_are_reset, kindRows, row)
{
    placement_fixture fixture;
    fixture.announce(1);
    auto const announcedAt = fixture.now;
    auto const token = fixture.openEstablished(20'000, row.port);
    for (uint16_t caller = 20'001; caller < 20'004; ++caller)
        fixture.openEstablished(caller, row.port);
    for (int number = 2; number <= 4; ++number)
        fixture.announce(number);
    fixture.advance(row.announcedMs);
    for (uint16_t caller = 20'000; caller < 20'004; ++caller)
        fixture.request(caller, token, 5'001, row.port);
    std::optional<reset_reason> reset;
    for (int repeat = 0; repeat < 2; ++repeat) {
        fixture.advance(200);
        for (uint16_t caller = 20'000; caller < 20'004; ++caller)
            reset = placement_fixture::resetOf(fixture.request(caller, token, 5'001, row.port));
        fixture.router.pool().recordAnnouncement(token, announcedAt, announcement_reporter::Announcer, fixture.now);
    }
    BOOST_CHECK(reset == row.reset);
}

// Empty servers join while handshakes are in progress. Guards against a repeated handshake that reaches a second
// server, which would accept the flow as well: the caller's request could then run twice.
BOOST_AUTO_TEST_CASE(repeated_handshake_keeps_its_server_while_empty_servers_join)
{
    placement_fixture fixture;
    for (int number = 1; number <= 4; ++number)
        fixture.announce(number);
    auto const openFrom = [&](uint16_t first) {
        std::map<uint16_t, uint32_t> servers;
        for (auto caller = first; caller < first + 100; ++caller)
            servers[caller]
                = placement_fixture::targetOf(fixture.open(caller, 0, placement_fixture::nonIdempotentPort)).value();
        return servers;
    };
    auto const servers = openFrom(20'000);
    auto const others = openFrom(30'000);
    for (int number = 5; number <= 30; ++number)
        fixture.announce(number);
    for (uint32_t const repeat : { 1U, 2U }) {
        fixture.advance(repeat == 1 ? 200 : 400);
        // The servers respond to other callers, so only single handshake packets were lost.
        for (auto const& [caller, token] : others) {
            if (caller % 2 == repeat % 2)
                fixture.completeHandshake(caller, token, placement_fixture::nonIdempotentPort);
        }
        for (auto const& [caller, token] : servers) {
            auto const target
                = placement_fixture::targetOf(fixture.open(caller, repeat, placement_fixture::nonIdempotentPort));
            BOOST_TEST((target == std::optional(token)));
        }
    }
}

// Long downloads over a lossy path. Guards against resets and ejections because callers repeat packets, while the
// server responds: a page would stay incomplete.
BOOST_AUTO_TEST_CASE(download_on_a_lossy_link_is_not_reset)
{
    placement_fixture fixture;
    for (int number = 1; number <= 2; ++number)
        fixture.announce(number, "a", backend_state::Ready, "gallery");
    constexpr auto port = placement_fixture::downloadPort;
    std::map<uint16_t, uint32_t> flows;
    for (uint16_t caller = 20'000; caller < 20'020; ++caller)
        flows[caller] = fixture.openEstablished(caller, port);
    for (auto const& [caller, token] : flows)
        fixture.request(caller, token, 5'001, port);
    for (int step = 0; step < 40; ++step) {
        fixture.advance(200);
        for (auto const& [caller, token] : flows) {
            // Each caller loses some packets: it repeats its request or acknowledges what it has received.
            auto const decision = (step + caller) % 3 == 0 ? fixture.request(caller, token, 5'001, port)
                                                           : fixture.acknowledgeResponse(caller, token, port);
            BOOST_TEST((placement_fixture::targetOf(decision) == std::optional(token)));
        }
    }
    BOOST_TEST(fixture.router.pool().drainEjections().empty());
}

struct evidence_row {
    char const* name;
    /// Age of the server's record when this balancer receives it, and the time from then to the first requests, in
    /// milliseconds. The server does not respond for another 600 ms.
    int recordAge = 0;
    int knownFor = 1'000;
    /// What a control host reports on request: the time since the server's last announcement in milliseconds; nullopt
    /// if no report arrives.
    std::optional<int> reportedAge {};
    announcement_reporter reporter = announcement_reporter::Announcer;
    /// Age of the lease of the server's control host in milliseconds; nullopt if that host has reported it as late.
    std::optional<int> leaseAge = 0;
    directory_health health = directory_health::Current;
    std::optional<reset_reason> reset {};
};
std::ostream& operator<<(std::ostream& stream, evidence_row const& row) { return stream << row.name; }

constexpr auto otherHost = announcement_reporter::OtherHost;
constexpr auto serverUnresponsive = reset_reason::ServerUnresponsive;

evidence_row const evidenceRows[] = {
    { .name = "announced itself since", .reportedAge = 100 },
    { .name = "next announcement is not due yet", .reportedAge = 900 },
    { .name = "next announcement is due", .reportedAge = 1'150 },
    { .name = "overdue", .reportedAge = 1'250, .reset = serverUnresponsive },
    { .name = "overdue at a host that the server has left", .reportedAge = 1'250, .reporter = otherHost },
    { .name = "announced itself at another host", .reportedAge = 100, .reporter = otherHost },
    { .name = "no report yet" },
    { .name = "no report for long", .knownFor = 10'000 },
    { .name = "reported as late", .leaseAge = std::nullopt, .reset = serverUnresponsive },
    { .name = "reported as late, announced itself at another host",
        .reportedAge = 100,
        .reporter = otherHost,
        .leaseAge = std::nullopt },
    { .name = "outdated record says late", .recordAge = 10'000, .knownFor = 500, .leaseAge = std::nullopt },
    { .name = "control host is silent, server had no time to find another", .leaseAge = 5'000 },
    { .name = "no control host confirms it", .knownFor = 2'300, .leaseAge = 5'000, .reset = serverUnresponsive },
    { .name = "control hosts are silent or have just started",
        .knownFor = 10'000,
        .leaseAge = 20'000,
        .health = directory_health::Stale },
    { .name = "balancer and control host have just started",
        .recordAge = 10'000,
        .knownFor = 1'000,
        .leaseAge = 20'000 },
    { .name = "control host stays silent after the start",
        .recordAge = 10'000,
        .knownFor = 2'300,
        .leaseAge = 20'000,
        .reset = serverUnresponsive },
};

// A server responds to no caller of this balancer: it has crashed, or it is slow, or packets are lost on the path.
// Guards against resets of open flows of a running server, which announces itself only once per interval, and against
// callers that wait for a crashed one.
BOOST_DATA_TEST_CASE(flows_of_an_unresponsive_server_are_reset_only_when_it_is_overdue, evidenceRows, row)
{
    placement_fixture fixture;
    fixture.announce(1, "a", backend_state::Ready, "orders", row.recordAge);
    auto const lastSeenAt = fixture.now - std::chrono::milliseconds(row.recordAge);
    auto const token = fixture.openEstablished(20'000);
    for (uint16_t caller = 20'001; caller < 20'004; ++caller)
        fixture.openEstablished(caller);
    for (int number = 2; number <= 4; ++number)
        fixture.announce(number);
    fixture.advance(row.knownFor);
    fixture.router.pool().setDirectoryHealth(row.health);
    auto const lease = std::make_shared<announcer_lease>();
    fixture.router.pool().setLiveness(
        token, { lastSeenAt, row.leaseAge ? lease : std::shared_ptr<announcer_lease>(), !row.leaseAge });
    for (uint16_t caller = 20'000; caller < 20'004; ++caller)
        fixture.request(caller, token);
    std::optional<reset_reason> reset;
    for (int repeat = 0; repeat < 3; ++repeat) {
        fixture.advance(200);
        lease->renewedAt = fixture.now - std::chrono::milliseconds(row.leaseAge.value_or(0));
        for (uint16_t caller = 20'000; caller < 20'004 && !reset; ++caller)
            reset = placement_fixture::resetOf(fixture.request(caller, token));
        auto const suspects = fixture.router.pool().drainSuspects();
        BOOST_TEST((suspects == std::vector { token } || reset.has_value()));
        if (row.reportedAge)
            fixture.router.pool().recordAnnouncement(
                token, fixture.now - std::chrono::milliseconds(*row.reportedAge), row.reporter, fixture.now);
    }
    BOOST_CHECK(reset == row.reset);
}

struct outage_row {
    char const* name;
    /// Time from the last packet without a response to the next request, in milliseconds.
    int pauseMs;
    std::optional<reset_reason> reset;
};
std::ostream& operator<<(std::ostream& stream, outage_row const& row) { return stream << row.name; }

outage_row const outageRows[] = {
    { "callers still wait", 400, reset_reason::ServerUnresponsive },
    { "no caller waits any more", 2'400, std::nullopt },
    { "long after the outage", 10'000, std::nullopt },
};

// Partition that has healed, with a flow that was idle meanwhile. Guards against a reset of this flow because a single
// packet is lost later: the packets without a response during the outage say nothing about the server by then.
BOOST_DATA_TEST_CASE(silence_of_an_earlier_outage_does_not_reset_flows, outageRows, row)
{
    placement_fixture fixture;
    fixture.announce(1);
    auto const token = fixture.openEstablished(20'000);
    for (uint16_t caller = 20'001; caller < 20'005; ++caller)
        fixture.openEstablished(caller);
    for (int number = 2; number <= 4; ++number)
        fixture.announce(number);
    auto const lastSeenAt = fixture.now;
    auto const lease = std::make_shared<announcer_lease>();
    fixture.router.pool().setLiveness(token, { lastSeenAt, lease });
    fixture.advance(1'000);
    for (uint16_t caller = 20'001; caller < 20'005; ++caller)
        fixture.request(caller, token);
    for (int repeat = 0; repeat < 2; ++repeat) {
        fixture.advance(200);
        lease->renewedAt = fixture.now;
        fixture.router.pool().recordAnnouncement(token, lastSeenAt, announcement_reporter::Announcer, fixture.now);
        for (uint16_t caller = 20'001; caller < 20'005; ++caller)
            fixture.request(caller, token);
    }
    fixture.advance(row.pauseMs - 200);
    lease->renewedAt = fixture.now;
    fixture.request(20'000, token);
    fixture.advance(200);
    BOOST_CHECK(placement_fixture::resetOf(fixture.request(20'000, token)) == row.reset);
}

// Crash of a server that a single caller uses, which repeats its packet after growing times. Guards against a count
// that begins anew with each repetition because a packet was delayed on the way.
BOOST_AUTO_TEST_CASE(flow_of_a_single_waiting_caller_is_reset)
{
    placement_fixture fixture;
    fixture.announce(1);
    auto const token = fixture.openEstablished(20'000);
    fixture.announce(2);
    fixture.request(20'000, token);
    std::optional<reset_reason> reset;
    for (int const delay : { 200, 1'650, 1'650, 1'650 }) {
        fixture.advance(delay);
        reset = placement_fixture::resetOf(fixture.request(20'000, token));
        if (reset)
            break;
    }
    BOOST_CHECK(reset == reset_reason::ServerUnresponsive);
}

// Queue at a running server: no flow is reset while the server responds to some callers, although its announcements
// arrive late.
BOOST_AUTO_TEST_CASE(busy_server_that_still_responds_keeps_its_flows)
{
    placement_fixture fixture;
    for (int number = 2; number <= 4; ++number)
        fixture.announce(number, "b");
    fixture.announce(1);
    for (uint16_t caller = 20'000; caller < 20'006; ++caller)
        BOOST_REQUIRE_EQUAL(fixture.openEstablished(caller), placement_fixture::tokenOf(1));
    auto const token = placement_fixture::tokenOf(1);
    for (uint16_t caller = 20'000; caller < 20'006; ++caller)
        fixture.request(caller, token);
    for (int repeat = 0; repeat < 5; ++repeat) {
        fixture.advance(200);
        fixture.router.pool().recordAnnouncement(
            token, fixture.now - std::chrono::milliseconds(1'300), announcement_reporter::Announcer, fixture.now);
        fixture.acknowledgeResponse(static_cast<uint16_t>(20'000 + repeat), token);
        fixture.request(20'005, token);
        BOOST_CHECK(!placement_fixture::resetOf(fixture.request(20'005, token)));
    }
}

struct backlog_row {
    char const* name;
    int queuedMs;
    uint32_t retransmissionsSinceResponse;
};
std::ostream& operator<<(std::ostream& stream, backlog_row const& row) { return stream << row.name; }

backlog_row const backlogRows[] = {
    { "at the same time", 0, 0 },
    { "within the minimum delay", 100, 0 },
    { "after the minimum delay", 200, 1 },
};

// Backlog after a pause of the balancer: it reads packets together with their retransmissions, which must not count
// against the servers.
BOOST_DATA_TEST_CASE(retransmissions_queued_with_the_first_packet_are_not_counted, backlogRows, row)
{
    placement_fixture fixture;
    for (int number = 1; number <= 6; ++number)
        fixture.announce(number);
    auto const first = placement_fixture::targetOf(fixture.open(20'000)).value();
    auto const requested = fixture.openEstablished(20'001);
    fixture.advance(300);
    auto const opened = placement_fixture::targetOf(fixture.open(20'002)).value();
    fixture.request(20'001, requested);
    fixture.advance(row.queuedMs);
    auto const repeated = placement_fixture::targetOf(fixture.open(20'002, 1)).value();
    fixture.request(20'001, requested);
    BOOST_TEST(
        fixture.router.pool().find(opened)->load.retransmissionsSinceResponse == row.retransmissionsSinceResponse);
    BOOST_TEST(
        fixture.router.pool().find(requested)->load.retransmissionsSinceResponse == row.retransmissionsSinceResponse);
    // If two servers responded to one handshake, the caller would receive two tokens.
    BOOST_TEST((repeated == opened) == (row.retransmissionsSinceResponse == 0));
    BOOST_TEST(fixture.router.pool().find(first)->load.retransmissionsSinceResponse == 0u);
}

// Partition: when most servers seem to fail, the network path is the likelier cause, so at most half of them are
// ejected.
BOOST_AUTO_TEST_CASE(at_most_half_of_the_servers_are_ejected)
{
    placement_fixture fixture;
    for (int number = 1; number <= 6; ++number)
        fixture.announce(number);
    for (uint16_t caller = 20'000; caller < 20'060; ++caller)
        fixture.open(caller);
    fixture.advance(200);
    for (uint16_t caller = 20'000; caller < 20'060; ++caller)
        fixture.open(caller, 1);
    int ejected = 0;
    for (int number = 1; number <= 6; ++number)
        ejected
            += fixture.router.pool().find(placement_fixture::tokenOf(number))->load.ejectedUntil > fixture.now ? 1 : 0;
    BOOST_TEST(ejected == 3);
}

// Outage of the control hosts: the announcements of all servers stop arriving, which must not exclude any server.
BOOST_AUTO_TEST_CASE(stale_directory_excludes_no_server)
{
    placement_fixture fixture;
    for (int number = 1; number <= 3; ++number)
        fixture.announce(number);
    fixture.advance(60'000);
    fixture.router.pool().setDirectoryHealth(directory_health::Stale);
    auto const flows = placeFlows(fixture, 30, placement_fixture::idempotentPort, 20'000);
    BOOST_TEST(flows.size() == 3u);
}

// Restart of a server: after its ejection a single handshake probes whether it responds again.
BOOST_AUTO_TEST_CASE(ejected_server_is_probed_with_one_handshake)
{
    placement_fixture fixture;
    for (int number = 1; number <= 4; ++number)
        fixture.announce(number);
    auto const dead = placement_fixture::targetOf(fixture.open(20'000)).value();
    std::map<uint16_t, uint32_t> tokens;
    for (uint16_t caller = 20'001; caller < 20'012; ++caller)
        tokens[caller] = placement_fixture::targetOf(fixture.open(caller)).value();
    fixture.advance(10);
    for (auto const& [caller, token] : tokens) {
        if (token != dead)
            fixture.completeHandshake(caller, token);
    }
    fixture.advance(190);
    for (uint16_t caller = 20'000; caller < 20'012; ++caller)
        fixture.open(caller, 1);
    BOOST_REQUIRE(fixture.router.pool().find(dead)->load.ejectedUntil > fixture.now);
    fixture.advance(1'001);
    for (int number = 1; number <= 4; ++number)
        fixture.announce(number);
    fixture.router.sweep(fixture.now + std::chrono::seconds(1));
    auto const flows = placeFlows(fixture, 40, placement_fixture::idempotentPort, 30'000);
    BOOST_TEST(flows.at(dead) == 1);
}

} // namespace
