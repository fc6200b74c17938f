#include <Forwarding/handshake_observer.h>
#include <boost/test/unit_test.hpp>

using namespace bilberryyard;

namespace {

constexpr server_id first { 7 };
constexpr server_id second { 8 };
constexpr uint64_t flow = 0x1234'0000'5670'0000;

parsed_packet packet(packet_kind kind, uint8_t flags = 0) { return { {}, kind, flags, 0, 0, 0 }; }

parsed_packet const syn = packet(packet_kind::TcpSyn, tcp_flags::syn);
parsed_packet const ack = packet(packet_kind::TcpSegment, tcp_flags::ack);

// Guards against handshakes that are counted twice or for another server.
BOOST_AUTO_TEST_CASE(handshakes_are_counted_by_server)
{
    handshake_observer observer(1, 1024);
    observer.recordForwarded(syn, flow, first);
    observer.recordForwarded(syn, flow, first);
    observer.recordForwarded(ack, flow, second);
    observer.recordForwarded(ack, flow, first);
    observer.recordForwarded(ack, flow, first);
    observer.recordForwarded(syn, flow + (1U << 20), second);
    std::vector<handshake_statistics> const expected { { first, 1, 1, 1 }, { second, 1, 0, 0 } };
    BOOST_CHECK(observer.drain() == expected);
    BOOST_TEST(observer.drain().empty());
}

// Guards against progress that is counted for a reset by the caller, an ICMP error, or a flow whose SYN was not seen.
BOOST_AUTO_TEST_CASE(only_acknowledgements_of_sampled_flows_count_as_progress)
{
    handshake_observer observer(1, 1024);
    observer.recordForwarded(ack, flow, first);
    observer.recordForwarded(packet(packet_kind::Datagram), flow, first);
    BOOST_TEST(observer.drain().empty());
    observer.recordForwarded(syn, flow, first);
    observer.recordForwarded(packet(packet_kind::TcpSegment, tcp_flags::rst | tcp_flags::ack), flow, first);
    observer.recordForwarded(packet(packet_kind::TcpSegment, tcp_flags::fin), flow, first);
    observer.recordForwarded(packet(packet_kind::IcmpError), flow, first);
    std::vector<handshake_statistics> const expected { { first, 1, 0, 0 } };
    BOOST_CHECK(observer.drain() == expected);
}

// Guards against a flow that was retried at another server and is counted as a retransmission there.
BOOST_AUTO_TEST_CASE(retry_at_another_server_counts_as_a_new_handshake)
{
    handshake_observer observer(1, 1024);
    observer.recordForwarded(syn, flow, first);
    observer.recordForwarded(syn, flow, second);
    std::vector<handshake_statistics> const expected { { first, 1, 0, 0 }, { second, 1, 0, 0 } };
    BOOST_CHECK(observer.drain() == expected);
}

// Guards against a sample that differs between hosts, or that depends on the hash bits that select the bucket.
BOOST_AUTO_TEST_CASE(one_flow_per_interval_is_sampled)
{
    handshake_observer observer(16, 1 << 16);
    for (uint64_t number = 0; number < 1600; ++number)
        observer.recordForwarded(syn, number << 40 | 0xfff, first);
    auto const counts = observer.drain();
    BOOST_TEST_REQUIRE(counts.size() == 1U);
    BOOST_TEST(counts[0].started == 100U);
}

} // namespace
