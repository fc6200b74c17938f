#include "routing_fixture.h"
#include <Base/error_kind.h>
#include <Routing/flow_router.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace bilberryyard;
using namespace bilberryyard::test;

namespace {

auto const set12 = makeSet({ makeGroup({ 1, 2 }) });
auto const stableTable = makeTable(tcpService, server(1), server(1), bucket_phase::Stable);
auto const firstPhase = makeTable(tcpService, server(1), server(1));
auto const secondPhase = makeTable(tcpService, server(1), server(2), bucket_phase::Tracked, set12, 2);

std::shared_ptr<bucket_table const> trackedBy(witness_set const& witnesses)
{
    return makeTable(tcpService, server(1), server(2), bucket_phase::Tracked, witnesses, 3);
}

/// A router whose view a test can change and publish again.
struct router_fixture {
    flow_router router;
    routing_view view;

    explicit router_fixture(uint32_t self, std::shared_ptr<bucket_table const> const& table = secondPhase,
        flow_router_settings const& settings = { .suspensionThreshold = 1h })
        : router(settings)
        , view(makeView(self))
    {
        view.tables[tcpService] = table;
        view.tables[datagramService] = makeTable(datagramService, noServer, server(7), bucket_phase::Tracked, set12);
        publish();
    }

    void publish() { router.setView(std::make_shared<routing_view const>(view)); }

    void setCondition(uint32_t id, server_condition condition)
    {
        view.servers[server(id)].condition = condition;
        publish();
    }

    std::string send(parsed_packet const& packet, std::chrono::milliseconds time = 0ms)
    {
        return describe(router.route(packet, std::nullopt, at(time)));
    }

    std::string relayed(
        parsed_packet const& packet, uint32_t sender, std::chrono::milliseconds time = 0ms, relay_header header = {})
    {
        header.sender = host(sender);
        header.relays = std::max<uint8_t>(header.relays, 1);
        header.service = packet.key.protocol == ip_protocol::Tcp ? tcpService : datagramService;
        return describe(router.route(packet, header, at(time)));
    }

    std::string recorded(
        parsed_packet const& packet, uint32_t sender, uint32_t chosen, std::chrono::milliseconds time = 0ms)
    {
        relay_header header;
        header.kind = relay_kind::Record;
        header.server = server(chosen);
        return relayed(packet, sender, time, header);
    }
};

struct first_packet_row {
    char const* name;
    uint32_t self;
    std::shared_ptr<bucket_table const> table;
    parsed_packet packet;
    std::string expected;
};

std::ostream& operator<<(std::ostream& stream, first_packet_row const& row) { return stream << row.name; }

auto const reset = tcp_flags::rst | tcp_flags::ack;

first_packet_row const firstPackets[] = {
    { "stable SYN", 3, stableTable, makeSyn(1), "server 1" },
    { "stable segment", 3, stableTable, makeSegment(1), "server 1" },
    { "stable ICMP error", 3, stableTable, makeIcmpError(1), "server 1" },
    { "tracked SYN at a host that is no witness", 3, secondPhase, makeSyn(1), "host 1" },
    { "tracked SYN at the second witness", 2, secondPhase, makeSyn(1), "host 1" },
    { "tracked SYN at the primary", 1, secondPhase, makeSyn(1), "host 2 record 2" },
    { "first phase SYN at the primary", 1, firstPhase, makeSyn(1), "host 2 record 1" },
    { "flow without entry at a host that is no witness", 3, secondPhase, makeSegment(1), "host 1" },
    { "flow without entry at the primary", 1, secondPhase, makeSegment(1), "server 1" },
    { "flow without entry at the second witness", 2, secondPhase, makeSegment(1), "server 1" },
    { "ICMP error of a flow without entry", 2, secondPhase, makeIcmpError(1), "server 1" },
    { "flow without entry at a filling witness", 2, trackedBy(makeSet({ makeGroup({ 1 }, { 2 }) })), makeSegment(1),
        "host 1" },
    { "no complete witness", 2, trackedBy(makeSet({ makeGroup({}, { 2 }) })), makeSegment(1),
        describeDrop(drop_reason::NoPeer) },
    { "SYN without a complete witness", 2, trackedBy(makeSet({ makeGroup({}, { 2 }) })), makeSyn(1), "server 2" },
    { "witnesses not live", 1, trackedBy(makeSet({ makeGroup({ 8, 9 }) })), makeSegment(1),
        describeDrop(drop_reason::NoPeer) },
    { "primary not live", 3, trackedBy(makeSet({ makeGroup({ 9, 2 }) })), makeSyn(1), "host 2" },
    { "second group is queried", 1, trackedBy(makeSet({ makeGroup({ 1 }), makeGroup({ 3 }) })), makeSegment(1),
        "host 3 group 1" },
    { "last group resolves to base", 3, trackedBy(makeSet({ makeGroup({ 3 }), makeGroup({ 3 }) })), makeSegment(1),
        "server 1" },
    { "new datagram at a host that is no witness", 3, secondPhase, makeDatagram(1), "host 1" },
    { "new datagram at the primary", 1, secondPhase, makeDatagram(1), "host 2 record 7" },
    { "no service", 1, secondPhase, { makeKey(1, { 9 }), packet_kind::TcpSyn, tcp_flags::syn, 0, 0, 0 },
        describeDrop(drop_reason::NoService) },
};

// Guards against a wrong decision for the first packet of a flow, by the rules of docs/design.md section 3.2.
BOOST_DATA_TEST_CASE(first_packet_follows_the_rules, firstPackets, row)
{
    router_fixture fixture(row.self, row.table);
    BOOST_TEST(fixture.send(row.packet) == row.expected);
}

// Guards against packets that are relayed in a loop, and against stale relays or relays of another service (P2).
BOOST_AUTO_TEST_CASE(relays_are_limited)
{
    router_fixture fixture(3);
    relay_header header;
    header.relays = maximumRelays;
    BOOST_TEST(fixture.relayed(makeSegment(1), 4, 0ms, header) == describeDrop(drop_reason::TooManyRelays));
    header = {};
    header.ageMilliseconds = 801;
    BOOST_TEST(fixture.relayed(makeSegment(1), 4, 0ms, header) == describeDrop(drop_reason::RelayTooOld));
    auto const wrong = fixture.router.route(
        makeSegment(1), relay_header { relay_kind::Lookup, 1, 0, host(4), datagramService, noServer, 0 }, at(0ms));
    BOOST_TEST(describe(wrong) == describeDrop(drop_reason::BadRelayHeader));
}

// Guards against packets that follow a record or a table to a server of another service (P2).
BOOST_AUTO_TEST_CASE(server_of_another_service_receives_no_packet)
{
    router_fixture fixture(2);
    fixture.view.servers[server(9)].service = datagramService;
    fixture.view.tables[tcpService] = makeTable(tcpService, server(9), server(9), bucket_phase::Stable);
    fixture.publish();
    BOOST_TEST(fixture.recorded(makeSyn(1), 1, 9) == describeDrop(drop_reason::NoServer));
    BOOST_TEST(fixture.send(makeSyn(2)) == describeDrop(drop_reason::NoServer));
    BOOST_TEST(fixture.send(makeSegment(2)) == describeDrop(drop_reason::NoServer));
    fixture.view.servers[server(9)].service = tcpService;
    fixture.publish();
    BOOST_TEST(fixture.send(makeSegment(2)) == "server 9");
}

/// Publishes a view with a second witness group, so that the router records the merge at the given time.
void merge(router_fixture& fixture, std::chrono::milliseconds time)
{
    fixture.send(makeIcmpError(1), time - 1ms);
    auto const merged = makeSet({ makeGroup({ 1, 2 }), makeGroup({ 3 }) });
    fixture.view.tables[tcpService] = trackedBy(merged);
    fixture.view.tables[datagramService]
        = makeTable(datagramService, noServer, server(8), bucket_phase::Tracked, merged, 9);
    fixture.publish();
    fixture.send(makeIcmpError(1), time);
}

// Guards against a flow of the remote side of a healed partition that is treated as a new flow.
BOOST_AUTO_TEST_CASE(primary_queries_the_other_group_after_a_merge)
{
    router_fixture fixture(1);
    merge(fixture, 10s);
    relay_header allGroupsQueried;
    allGroupsQueried.group = 2;
    BOOST_TEST(fixture.send(makeSyn(1), 10s) == "host 3 group 1");
    BOOST_TEST(fixture.relayed(makeSyn(1), 3, 10s, allGroupsQueried) == "host 2 record 2");
    BOOST_TEST(fixture.send(makeSyn(2), 12s) == "host 2 record 2");
    BOOST_TEST(fixture.send(makeDatagram(1), 12s) == "host 3 group 1");
    BOOST_TEST(fixture.relayed(makeDatagram(1), 3, 12s, allGroupsQueried) == "host 2 record 8");
    router_fixture other(3, trackedBy(makeSet({ makeGroup({ 3 }) })));
    other.send(makeSyn(1), 9s);
    merge(other, 10s);
    relay_header query;
    query.group = 1;
    BOOST_TEST(other.relayed(makeSyn(1), 1, 10s, query) == "server 2");
    BOOST_TEST(other.relayed(makeSyn(2), 1, 10s, query) == "host 1 group 2");
}

// Guards against a second server choice for a flow: its entry must persist at both witnesses when current changes.
BOOST_AUTO_TEST_CASE(entry_persists_when_current_changes)
{
    for (uint32_t const self : { 1, 2 }) {
        router_fixture fixture(self);
        BOOST_TEST((self == 1 ? fixture.send(makeSyn(1)) : fixture.recorded(makeSyn(1), 1, 2))
            == (self == 1 ? "host 2 record 2" : "server 2"));
        fixture.view.tables[tcpService] = makeTable(tcpService, server(1), server(5), bucket_phase::Tracked, set12, 4);
        fixture.publish();
        BOOST_TEST((self == 1 ? fixture.send(makeSyn(1), 10ms) : fixture.recorded(makeSyn(1), 1, 2, 10ms))
            == (self == 1 ? "host 2 record 2" : "server 2"));
        fixture.send(makeSegment(1), 6s);
        fixture.send(makeSegment(1), 8s);
        BOOST_TEST(fixture.send(makeSegment(1), 9s) == "server 2");
        BOOST_TEST(fixture.send(makeIcmpError(1), 9s) == "server 2");
        BOOST_TEST(fixture.send(makeSegment(2), 9s) == "server 1");
    }
}

// Guards against payload that a witness forwards without the primary, which could then still reassign the flow.
BOOST_AUTO_TEST_CASE(second_witness_relays_handshakes_to_the_primary)
{
    router_fixture fixture(2);
    fixture.recorded(makeSyn(1), 1, 2);
    BOOST_TEST(fixture.send(makeSegment(1), 10ms) == "host 1");
    BOOST_TEST(fixture.recorded(makeSegment(1), 1, 2, 20ms) == "server 2");
    BOOST_TEST(fixture.send(makeSegment(1), 30ms) == "server 2");
}

// Guards against a witness that receives no record of a new flow because the hosts' views differ.
BOOST_AUTO_TEST_CASE(record_from_an_unexpected_sender_is_dropped)
{
    router_fixture fixture(2);
    BOOST_TEST(fixture.recorded(makeSyn(1), 3, 2) == describeDrop(drop_reason::NoPeer));
    router_fixture restarted(2);
    restarted.view.self.incarnation = 2;
    restarted.publish();
    BOOST_TEST(restarted.recorded(makeSyn(1), 1, 2) == describeDrop(drop_reason::NoPeer));
    BOOST_TEST(restarted.router.flows().size() == 0u);
    router_fixture late(2, stableTable);
    BOOST_TEST(late.recorded(makeSyn(1), 1, 1) == "server 1");
    BOOST_TEST(late.recorded(makeSyn(2), 1, 2) == describeDrop(drop_reason::NoPeer));
}

// Guards against a reused port or a duplicate SYN of a closed flow that reaches a leaving server (P6).
BOOST_AUTO_TEST_CASE(reused_port_follows_the_old_server_while_it_accepts)
{
    router_fixture fixture(1, trackedBy(makeSet({ makeGroup({ 1 }) })));
    fixture.send(makeSyn(1));
    fixture.send(makeSegment(1), 10ms);
    fixture.send(makeSegment(1, tcp_flags::fin | tcp_flags::ack), 20ms);
    fixture.view.tables[tcpService]
        = makeTable(tcpService, server(1), server(5), bucket_phase::Tracked, makeSet({ makeGroup({ 1 }) }), 4);
    fixture.publish();
    BOOST_TEST(fixture.send(makeSegment(1), 30ms) == "server 2");
    BOOST_TEST(fixture.send(makeSyn(1), 40ms) == "server 2");
    fixture.send(makeSegment(1, reset), 50ms);
    fixture.setCondition(2, server_condition::Closed);
    BOOST_TEST(fixture.send(makeSyn(1), 60ms) == describeDrop(drop_reason::NoServer));
    BOOST_TEST(fixture.send(makeSyn(1), 1'100ms) == "server 5");
}

struct dead_server_row {
    char const* name;
    parsed_packet packet;
    std::string expected;
};

std::ostream& operator<<(std::ostream& stream, dead_server_row const& row) { return stream << row.name; }

dead_server_row const deadServerRows[] = {
    { "segment", makeSegment(1), "reset" },
    { "segment with RST", makeSegment(1, reset), describeDrop(drop_reason::ServerDead) },
    { "ICMP error", makeIcmpError(1), describeDrop(drop_reason::ServerDead) },
    { "duplicated SYN", makeSyn(1), describeDrop(drop_reason::ServerDead) },
    { "datagram", makeDatagram(1), "unreachable" },
};

// Guards against a request that reaches a second server after the first one failed (P5).
BOOST_DATA_TEST_CASE(flow_of_a_dead_server_is_not_reassigned, deadServerRows, row)
{
    router_fixture fixture(1);
    fixture.send(makeSyn(1));
    fixture.send(makeSegment(1), 10ms);
    fixture.send(makeDatagram(1));
    fixture.setCondition(2, server_condition::Dead);
    fixture.setCondition(7, server_condition::Dead);
    BOOST_TEST(fixture.send(row.packet, 100ms) == row.expected);
    fixture.setCondition(1, server_condition::Dead);
    BOOST_TEST(fixture.send(makeSegment(2), 100ms) == "reset");
}

// Guards against a server that exceeds its connection limit, and against a SYN of a stable bucket that is refused
// although it may be a duplicate of an established flow (P4).
BOOST_AUTO_TEST_CASE(admission_counts_own_flows_for_every_host)
{
    router_fixture fixture(1);
    fixture.view.servers[server(2)].connectionLimit = 100;
    fixture.view.servers[server(2)].reportedConnections = 93;
    fixture.publish();
    BOOST_TEST(fixture.send(makeSyn(1)) == "host 2 record 2");
    BOOST_TEST(fixture.send(makeSyn(2)) == "host 2 record 2");
    BOOST_TEST(fixture.send(makeSyn(3)) == "refused");
    BOOST_TEST(fixture.send(makeSyn(1)) == "host 2 record 2");
    fixture.view.servers[server(2)].reportedConnections = 94;
    fixture.view.servers[server(2)].reportSequence = 1;
    fixture.publish();
    BOOST_TEST(fixture.send(makeSyn(3)) == "host 2 record 2");
    router_fixture stable(3, stableTable);
    stable.view.servers[server(1)] = { server(1), server_condition::Accepting, 10, 10, 0 };
    stable.publish();
    BOOST_TEST(stable.send(makeSyn(1)) == describeDrop(drop_reason::NoServer));
    BOOST_TEST(stable.send(makeSegment(1)) == "server 1");
}

/// Half of the buckets have server 2 as current and half server 3; base is server 1.
std::shared_ptr<bucket_table const> makeTableWithTwoCurrentServers()
{
    table_delta delta { tcpService, 5, {} };
    for (uint32_t index = 0; index < bucketCount; ++index)
        delta.changes.push_back({ server(index % 2 + 2), server(1), bucket_phase::Tracked,
            makeSet({ makeGroup({ 1 }) }), { 5, host(1) }, { index } });
    return std::make_shared<bucket_table const>(bucket_table(tcpService, bucketCount).withDelta(delta));
}

struct retry_row {
    char const* name;
    std::chrono::milliseconds retransmissionDelay;
    bool progress;
    bool isReassigned;
};

std::ostream& operator<<(std::ostream& stream, retry_row const& row) { return stream << row.name; }

retry_row const retryRows[] = {
    { "SYN after 1 s", 1'000ms, false, true },
    { "SYN before 1 s", 999ms, false, false },
    { "SYN after progress of the handshake", 1'000ms, true, false },
    { "SYN after the maximum reassignment delay", 4'000ms, false, false },
};

// Guards against the reassignment of a flow that made progress (P5), and against a flow of an unresponsive server
// that is never reassigned.
BOOST_DATA_TEST_CASE(flow_of_unresponsive_server_is_reassigned_once, retryRows, row)
{
    router_fixture fixture(1, makeTableWithTwoCurrentServers());
    auto const firstChoice = fixture.send(makeSyn(1));
    if (row.progress)
        fixture.send(makeSegment(1), 500ms);
    auto const secondChoice = fixture.send(makeSyn(1), row.retransmissionDelay);
    BOOST_TEST((secondChoice != firstChoice) == row.isReassigned);
    auto const thirdChoice = fixture.send(makeSyn(1), row.retransmissionDelay + 2s);
    // Without an earlier reassignment or progress, the third SYN, 2 s after the second, may still cause one.
    BOOST_TEST((thirdChoice == secondChoice) == (row.isReassigned || row.progress));
    BOOST_TEST(fixture.send(makeSyn(1), row.retransmissionDelay + 4s) == thirdChoice);
    fixture.send(makeSegment(1), row.retransmissionDelay + 5s);
    BOOST_TEST(fixture.send(makeSegment(1), row.retransmissionDelay + 6s) == thirdChoice);
}

// Guards against too many reassignments at once: at most 10 in a second, or a tenth of the new flows.
BOOST_AUTO_TEST_CASE(reassignments_are_limited_by_a_budget)
{
    router_fixture fixture(1, makeTableWithTwoCurrentServers());
    for (uint32_t flow = 0; flow < 50; ++flow)
        fixture.send(makeSyn(flow), 0ms);
    for (uint32_t flow = 0; flow < 50; ++flow)
        fixture.send(makeSyn(flow), 1'500ms);
    BOOST_TEST(fixture.router.counters().reassigned == 10u);
}

// Guards against a datagram flow that changes its server while it is active, at either witness.
BOOST_AUTO_TEST_CASE(datagram_flow_keeps_its_server_until_idle)
{
    router_fixture fixture(1);
    BOOST_TEST(fixture.send(makeDatagram(1)) == "host 2 record 7");
    fixture.view.tables[datagramService]
        = makeTable(datagramService, noServer, server(8), bucket_phase::Tracked, set12, 2);
    fixture.publish();
    for (auto time = 1s; time <= 60s; time += 1s) {
        auto const action = fixture.send(makeDatagram(1), time);
        BOOST_TEST((action == "server 7" || action == "host 2 record 7"));
    }
    BOOST_TEST(fixture.send(makeDatagram(1), 100s) == "host 2 record 8");
}

// Guards against a host that forwards by its table after its peer lease has expired (F3, F4), and against an
// isolated host that does not forward.
BOOST_AUTO_TEST_CASE(unsynchronised_host_relays_and_isolated_host_decides)
{
    router_fixture fixture(1, stableTable);
    fixture.view.synchronisedUntil = at(10ms);
    fixture.publish();
    BOOST_TEST(fixture.send(makeSegment(1), 10ms) == "server 1");
    BOOST_TEST(fixture.send(makeSegment(1), 11ms).starts_with("host "));
    fixture.view.tables[tcpService] = secondPhase;
    fixture.view.state = synchronisation::Isolated;
    fixture.view.peers.clear();
    fixture.publish();
    BOOST_TEST(fixture.send(makeSegment(2), 3s) == "server 1");
    BOOST_TEST(fixture.send(makeSyn(1), 5s) == "server 2");
    BOOST_TEST(fixture.send(makeSegment(1), 5s) == "server 2");
}

// Guards against a transfer that loses entries at the end of a batch or overwrites newer ones, and against a usage
// report that would let a bucket settle although it has flows on another server than current.
BOOST_AUTO_TEST_CASE(transfer_copies_all_entries_and_usage_counts_them)
{
    router_fixture from(1);
    for (uint32_t flow = 0; flow < 500; ++flow)
        from.send(makeSyn(flow));
    router_fixture to(3, trackedBy(makeSet({ makeGroup({ 1, 2 }, { 3 }) })));
    to.recorded(makeSyn(7), 2, 9);
    std::vector<uint32_t> buckets(bucketCount);
    for (uint32_t index = 0; index < bucketCount; ++index)
        buckets[index] = index;
    transfer_batch batch;
    size_t added = 0;
    while (!batch.done) {
        batch = from.router.exportFlows(tcpService, buckets, batch.next, 7);
        BOOST_TEST(batch.flows.size() <= 7u);
        added += *to.router.importFlows(tcpService, batch.flows, at(0ms));
    }
    BOOST_TEST(added == 499u);
    // For the first 5 s the second witness relays the handshake of flow 7 to the primary.
    to.router.expire(at(5s), 1);
    BOOST_TEST(to.router.explain(makeKey(7)).server.value == 9u);
    auto const explained = to.router.explain(makeKey(8));
    BOOST_CHECK(explained.rule == routing_rule::ExplicitEntry);
    BOOST_TEST(explained.server.value == 2u);
    BOOST_TEST(explained.tableVersion == 3u);
    BOOST_TEST(to.router.usageOf(tcpService, to.router.explain(makeKey(7)).bucket).differing == 1u);
    auto const bucket = from.router.explain(makeKey(600)).bucket;
    BOOST_TEST(!from.router.usageOf(tcpService, bucket).lastBaseUse);
    from.send(makeSegment(600), 5ms);
    BOOST_CHECK(from.router.usageOf(tcpService, bucket).lastBaseUse == at(5ms));
    BOOST_CHECK(errorKindOf(to.router.importFlows({ 9 }, {}, at(0ms)).status()) == error_kind::NotFound);
}

// Guards against entries that are kept when the host loses its witness role and are used when it regains it, and
// against idle entries that are not removed.
BOOST_AUTO_TEST_CASE(entries_are_removed_with_the_role_and_on_expiry)
{
    router_fixture fixture(1);
    fixture.send(makeSyn(1));
    fixture.view.tables[tcpService] = trackedBy(makeSet({ makeGroup({ 2, 3 }) }));
    fixture.publish();
    fixture.view.tables[tcpService] = secondPhase;
    fixture.publish();
    BOOST_TEST(fixture.router.flows().size() == 0u);
    fixture.send(makeSyn(2), 1s);
    fixture.send(makeSegment(2), 2s);
    BOOST_TEST(fixture.router.expire(at(1'000s), 10'000) == 0u);
    BOOST_TEST(fixture.router.expire(at(1'128s), 10'000) == 1u);
}

// Guards against an explanation that differs from the router's decision.
BOOST_DATA_TEST_CASE(explanation_agrees_with_the_decision, firstPackets, row)
{
    if (row.packet.kind == packet_kind::TcpSyn)
        return;
    router_fixture fixture(row.self, row.table);
    auto const explained = fixture.router.explain(row.packet.key);
    auto const action = fixture.send(row.packet);
    if (explained.host)
        BOOST_TEST(action.starts_with("host " + std::to_string(explained.host->value)));
    else if (explained.rule == routing_rule::NewFlow)
        BOOST_TEST(action == "host 2 record " + std::to_string(explained.server.value));
    else if (explained.rule == routing_rule::NoWitness)
        BOOST_TEST(action == describeDrop(drop_reason::NoPeer));
    else
        BOOST_TEST(action == "server " + std::to_string(explained.server.value));
}

} // namespace
