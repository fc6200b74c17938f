#include "../Packet/packet_samples.h"
#include "fake_packet_io.h"
#include <Forwarding/packet_processor.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace bilberryyard;
using namespace bilberryyard::samples;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr server_id server { 7 };
constexpr host_id peer { 2 };
ip_endpoint const serverEndpoint = *ip_endpoint::parse("10.0.0.7:6080");
ip_endpoint const peerEndpoint = *ip_endpoint::parse("10.0.1.2:7000");
ip_endpoint const gateway = *ip_endpoint::parse("10.0.9.1:9000");
ip_endpoint const fabricEndpoint = *ip_endpoint::parse("10.0.9.2:9000");
monotonic_time const start { seconds { 1000 } };

/// Returns the same action for every packet and records its calls.
struct fixed_router {
    forwarding_action action = drop_packet { drop_reason::NoService };
    std::vector<std::pair<parsed_packet, packet_origin>> calls {};

    forwarding_action route(parsed_packet const& packet, packet_origin const& origin, monotonic_time)
    {
        calls.emplace_back(packet, origin);
        return action;
    }

    void setView(std::shared_ptr<routing_view const> const&) { }
};

struct fixture {
    explicit fixture(uint32_t rejectionsPerSecond = 10'000)
        : processor(
            { { { peer, peerEndpoint } }, gateway, rejectionsPerSecond }, router, fabric, relay, counters, observer)
    {
        auto view = std::make_shared<forwarding_view>();
        view->routing = std::make_shared<routing_view const>();
        view->servers[server] = serverEndpoint;
        processor.setView(view);
    }

    uint64_t dropped(drop_reason reason) const { return counters.dropped[static_cast<size_t>(reason)]; }

    fixed_router router;
    fake_packet_io fabric;
    fake_packet_io relay;
    processor_counters counters;
    // An interval of 1 samples every flow.
    handshake_observer observer { 1, 64 };
    packet_processor<fixed_router, fake_packet_io> processor;
};

/// A packet with a name for test reports.
struct named_packet {
    char const* name;
    bytes packet;
};

std::ostream& operator<<(std::ostream& stream, named_packet const& value) { return stream << value.name; }

bytes const syn = tcp(ipv4Flow, { tcp_flags::syn, 100 });

bytes relayed(bytes const& packet, relay_header const& value)
{
    bytes result(relayHeaderSize + packet.size());
    std::copy(packet.begin(), packet.end(), result.begin() + relayHeaderSize);
    BOOST_REQUIRE(prependRelayHeader(result, relayHeaderSize, value));
    return result;
}

relay_header const header { relay_kind::Record, 1, 0, peer, service_id { 1 }, server, 3 };

std::vector<named_packet> const flowPackets { { "SYN", syn },
    { "IPv6 segment", tcp(ipv6Flow, { tcp_flags::ack, 100, 500 }, 12) }, { "UDP", udp(ipv4Flow) },
    { "IPv6 UDP", udp(ipv6Flow) } };

// Guards against packets that are forwarded to another server or changed on the way.
BOOST_DATA_TEST_CASE(forwarded_packet_reaches_the_server_unchanged, flowPackets, sample)
{
    fixture test;
    auto const& packet = sample.packet;
    test.router.action = forward_to_server { service_id { 1 }, server };
    test.fabric.incoming.push_back({ packet, fabricEndpoint });
    test.relay.incoming.push_back({ relayed(packet, header), peerEndpoint });
    BOOST_TEST(test.processor.step(start) == 2U);
    BOOST_TEST_REQUIRE(test.fabric.sent.size() == 2U);
    for (auto const& sent : test.fabric.sent) {
        BOOST_CHECK(sent.endpoint == serverEndpoint);
        auto const inner = decapsulateGue(sent.bytes);
        BOOST_REQUIRE(inner);
        BOOST_TEST(bytes(inner->begin(), inner->end()) == packet, boost::test_tools::per_element());
    }
    BOOST_TEST_REQUIRE(test.router.calls.size() == 2U);
    BOOST_CHECK(!test.router.calls[0].second);
    BOOST_CHECK(test.router.calls[1].second == header);
    BOOST_TEST(test.counters.toServers == 2U);
    BOOST_TEST(test.counters.fromFabric == 1U);
    BOOST_TEST(test.counters.fromPeers == 1U);
}

// Guards against a second relay that leaves the relay header of the first in the packet.
BOOST_AUTO_TEST_CASE(packet_relayed_again_has_one_header)
{
    fixture test;
    test.router.action = relay_to_host { peer, header };
    test.fabric.incoming.push_back({ syn, fabricEndpoint });
    test.relay.incoming.push_back({ relayed(syn, { relay_kind::Lookup, 2, 0, peer, service_id { 1 } }), peerEndpoint });
    test.processor.step(start);
    BOOST_TEST_REQUIRE(test.relay.sent.size() == 2U);
    for (auto const& sent : test.relay.sent) {
        BOOST_CHECK(sent.endpoint == peerEndpoint);
        BOOST_TEST(sent.bytes == relayed(syn, header), boost::test_tools::per_element());
    }
    BOOST_TEST(test.counters.toPeers == 2U);
    BOOST_TEST(test.fabric.sent.empty());
}

// Guards against relaying to a host without an endpoint.
BOOST_AUTO_TEST_CASE(relay_to_an_unknown_peer_is_dropped)
{
    fixture test;
    test.router.action = relay_to_host { host_id { 3 }, header };
    test.fabric.incoming.push_back({ syn, fabricEndpoint });
    test.processor.step(start);
    BOOST_TEST(test.relay.sent.empty());
    BOOST_TEST(test.dropped(drop_reason::NoPeer) == 1U);
}

struct rejection_case {
    rejection_kind kind;
    bytes packet;
    uint8_t protocol;
};

std::ostream& operator<<(std::ostream& stream, rejection_case const& value)
{
    return stream << "rejection " << static_cast<int>(value.kind) << " in protocol "
                  << static_cast<int>(value.protocol);
}

std::vector<rejection_case> const rejections {
    { rejection_kind::ConnectionRefused, syn, 6 },
    { rejection_kind::ConnectionReset, tcp(ipv4Flow, { tcp_flags::ack, 100, 500 }, 12), 6 },
    { rejection_kind::PortUnreachable, udp(ipv4Flow), 1 },
};

// Guards against a caller that waits because it gets no rejection, and against a rejection to another address.
BOOST_DATA_TEST_CASE(rejection_goes_to_the_caller, rejections, rejection)
{
    fixture test;
    test.router.action = reject_packet { rejection.kind };
    test.fabric.incoming.push_back({ rejection.packet, fabricEndpoint });
    test.processor.step(start);
    BOOST_TEST_REQUIRE(test.fabric.sent.size() == 1U);
    auto const& sent = test.fabric.sent[0];
    BOOST_CHECK(sent.endpoint == gateway);
    BOOST_TEST(sent.bytes.at(9) == rejection.protocol);
    BOOST_CHECK(readDestination(sent.bytes, 4) == ipv4Flow.source);
    BOOST_TEST(test.counters.rejected == 1U);
}

// Guards against rejections that use up the bandwidth of flows, and against a limit that is not lifted after a second.
BOOST_AUTO_TEST_CASE(rejections_are_limited_per_second)
{
    fixture test(5);
    test.router.action = reject_packet { rejection_kind::ConnectionRefused };
    auto const send = [&](monotonic_time now) {
        for (int count = 0; count < 10; ++count)
            test.fabric.incoming.push_back({ syn, fabricEndpoint });
        test.processor.step(now);
    };
    send(start);
    BOOST_TEST(test.counters.rejected == 5U);
    BOOST_TEST(test.counters.rejectionsSuppressed == 5U);
    send(start + milliseconds { 999 });
    BOOST_TEST(test.counters.rejected == 5U);
    send(start + seconds { 1 });
    BOOST_TEST(test.counters.rejected == 10U);
    BOOST_TEST(test.fabric.sent.size() == 10U);
}

// Guards against a reply to an RST: two hosts would reply to each other forever.
BOOST_AUTO_TEST_CASE(tcp_reset_gets_no_reply)
{
    fixture test;
    test.router.action = reject_packet { rejection_kind::ConnectionReset };
    test.fabric.incoming.push_back({ tcp(ipv4Flow, { tcp_flags::rst, 100 }), fabricEndpoint });
    test.processor.step(start);
    BOOST_TEST(test.fabric.sent.empty());
    BOOST_TEST(test.counters.rejectionsSuppressed == 1U);
}

// Guards against dropped packets that no counter shows.
BOOST_DATA_TEST_CASE(drops_are_counted_by_reason, boost::unit_test::data::xrange(dropReasonCount), index)
{
    fixture test;
    test.router.action = drop_packet { static_cast<drop_reason>(index) };
    test.fabric.incoming.push_back({ syn, fabricEndpoint });
    test.processor.step(start);
    BOOST_TEST(test.counters.dropped[index] == 1U);
    BOOST_TEST(test.fabric.sent.empty());
    BOOST_TEST(test.relay.sent.empty());
}

// Guards against a packet to a server without a known endpoint, and against counting it as a handshake of the server.
BOOST_AUTO_TEST_CASE(unknown_server_is_dropped)
{
    fixture test;
    test.router.action = forward_to_server { service_id { 1 }, server_id { 8 } };
    test.fabric.incoming.push_back({ syn, fabricEndpoint });
    test.processor.step(start);
    BOOST_TEST(test.fabric.sent.empty());
    BOOST_TEST(test.counters.toServers == 0U);
    BOOST_TEST(test.dropped(drop_reason::NoServer) == 1U);
    BOOST_TEST(test.observer.drain().empty());
}

struct bad_relay {
    char const* name;
    bytes packet;
    ip_endpoint sender;
};

std::ostream& operator<<(std::ostream& stream, bad_relay const& value) { return stream << value.name; }

std::vector<bad_relay> const badRelays {
    { "unknown address", relayed(syn, header), *ip_endpoint::parse("10.0.1.3:7000") },
    { "unknown port", relayed(syn, header), *ip_endpoint::parse("10.0.1.2:7001") },
    { "no header", syn, peerEndpoint },
    { "truncated header", firstBytes(relayed(syn, header), relayHeaderSize - 1), peerEndpoint },
    { "empty", {}, peerEndpoint },
};

// Guards against callers that select the server of a flow with a forged relay header.
BOOST_DATA_TEST_CASE(relay_headers_are_accepted_from_known_peers_only, badRelays, bad)
{
    fixture test;
    test.router.action = forward_to_server { service_id { 1 }, server };
    test.relay.incoming.push_back({ bad.packet, bad.sender });
    test.processor.step(start);
    BOOST_TEST(test.router.calls.empty());
    BOOST_TEST(test.fabric.sent.empty());
    BOOST_TEST(test.dropped(drop_reason::BadRelayHeader) == 1U);
}

// Guards against processing a malformed packet, and against losing the packets after it in the batch.
BOOST_AUTO_TEST_CASE(malformed_packet_does_not_stop_the_batch)
{
    fixture test;
    test.router.action = forward_to_server { service_id { 1 }, server };
    test.fabric.incoming.push_back({ firstBytes(syn, 10), fabricEndpoint });
    for (int count = 0; count < 200; ++count)
        test.fabric.incoming.push_back({ syn, fabricEndpoint });
    while (test.processor.step(start) != 0) { }
    BOOST_TEST(test.fabric.sent.size() == 200U);
    BOOST_TEST(test.dropped(drop_reason::Truncated) == 1U);
}

} // namespace
