#include "trace_samples.h"

#include <Base/error_kind.h>
#include <Packet/packet_builder.h>
#include <Trace/expected_outcomes.h>
#include <Trace/replay_policy.h>
#include <boost/test/unit_test.hpp>

namespace bilberryyard::test {

// Guards against a replay that depends on anything but the trace, such as the iteration order of a hash table.
BOOST_AUTO_TEST_CASE(two_replays_of_a_trace_agree)
{
    auto const path = std::string(BILBERRYYARD_SOURCE_DIR) + "/Traces/flessenpost-F1.trace";
    auto const first = replayTrace(path, replay_policy::FlowRouter, {});
    auto const second = replayTrace(path, replay_policy::FlowRouter, {});
    BOOST_REQUIRE(first.ok());
    BOOST_REQUIRE(second.ok());
    BOOST_TEST((*first == *second));
}

// Guards against recorded packets that the replayer reads but does not pass to the router.
BOOST_AUTO_TEST_CASE(recorded_packets_reach_the_decision_code)
{
    auto const path = temporaryPath("trace-recorded");
    auto header = sampleHeader();
    header.configuration = "zones:\n  - {name: one, id: 1}\nservices:\n"
                           "  - {name: orders, id: 1, addresses: [10.100.0.1], port: 80, protocol: tcp}\n";
    auto writer = trace_writer::create(path, header);
    BOOST_REQUIRE(writer.ok());
    flow_key const key { ip_address::fromIpv4(0x0a000001), ip_address::fromIpv4(0x0a640002), 2000, 80, ip_protocol::Tcp,
        0 };
    auto const packet = packet_builder::create(key)->tcp({ tcp_flags::syn, 1, 0, 100 });
    BOOST_REQUIRE(writer->write({ std::chrono::seconds { 4 }, packet_input { host_id { 1 }, packet, {} } }).ok());
    BOOST_REQUIRE(writer->write({ std::chrono::seconds { 5 }, packet_input { host_id { 1 }, { 1 }, {} } }).ok());
    BOOST_REQUIRE(writer->finish().ok());
    auto const outcome = replayTrace(path, replay_policy::FlowRouter, {});
    BOOST_REQUIRE(outcome.ok());
    // The destination of the first packet belongs to no service, and the second packet is truncated.
    BOOST_TEST(outcome->droppedPackets == 2U);
    std::filesystem::remove(path);
}

// Guards against a misspelt key or outcome name, with which the outcome would never be compared.
BOOST_AUTO_TEST_CASE(unknown_keys_and_outcomes_are_reported)
{
    auto const path = temporaryPath("stated.yaml");
    writeContent(path, "proves: P1\nstatement: x\noutcomes:\n  broken_flows: {at_mots: 0}\n");
    BOOST_TEST((errorKindOf(expected_outcomes::read(path).status()) == error_kind::InvalidArgument));
    writeContent(path, "proves: P1\nstatement: x\noutcomes:\n  broken_flow: {at_most: 0}\n");
    auto const expected = expected_outcomes::read(path);
    BOOST_REQUIRE(expected.ok());
    BOOST_TEST(expected->differences({ { "broken_flows", 0 } }).size() == 1U);
    std::filesystem::remove(path);
}

} // namespace bilberryyard::test
