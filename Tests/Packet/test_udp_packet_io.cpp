#include "packet_samples.h"
#include <Packet/gue_encapsulation.h>
#include <Packet/udp_packet_io.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace bilberryyard;
using namespace bilberryyard::samples;

namespace {

char const* const loopbackAddresses[] = { "127.0.0.1", "::1" };

udp_packet_io openSocket(char const* address, udp_packet_io_settings const& settings = {})
{
    auto opened = udp_packet_io::create({ *ip_address::parse(address), 0 }, settings);
    BOOST_REQUIRE_MESSAGE(opened.ok(), opened.status().ToString());
    return std::move(*opened);
}

// Receives packets until none arrives for 100 ms; returns their number.
size_t drain(udp_packet_io& io, packet_batch& batch)
{
    size_t count = 0;
    while (io.waitReadable(std::chrono::milliseconds(100)))
        count += io.receive(batch);
    return count;
}

// Guards against lost, truncated or reordered packets when a batch needs several system calls, and against an
// encapsulated packet that is not sent from the buffer into which it was received.
BOOST_DATA_TEST_CASE(batches_are_received_in_order, loopbackAddresses, address)
{
    auto first = openSocket(address, { .messagesPerCall = 8 });
    auto second = openSocket(address, { .messagesPerCall = 8 });
    std::vector<bytes> packets;
    for (size_t index = 0; index < 50; ++index)
        packets.push_back(udp(ipv4Flow, index));
    std::vector<outgoing_packet> outgoing;
    for (auto const& packet : packets)
        outgoing.push_back({ packet, second.localEndpoint() });
    BOOST_TEST_REQUIRE(first.send(outgoing) == packets.size());

    packet_batch batch(64, 2048);
    BOOST_TEST_REQUIRE(second.waitReadable(std::chrono::seconds(5)));
    BOOST_TEST_REQUIRE(second.receive(batch) == packets.size());
    std::vector<outgoing_packet> encapsulated;
    for (size_t index = 0; index < batch.size(); ++index) {
        BOOST_TEST(batch.packet(index) == packets[index], boost::test_tools::per_element());
        BOOST_CHECK(batch.sender(index) == first.localEndpoint());
        auto const datagram = encapsulateGue(batch.buffer(index), packetHeadroom);
        BOOST_REQUIRE(datagram.has_value());
        encapsulated.push_back({ *datagram, batch.sender(index) });
    }
    BOOST_TEST_REQUIRE(second.send(encapsulated) == packets.size());

    packet_batch returnedBatch(packets.size(), 2048);
    BOOST_TEST_REQUIRE(first.waitReadable(std::chrono::seconds(5)));
    BOOST_TEST_REQUIRE(first.receive(returnedBatch) == packets.size());
    for (size_t index = 0; index < returnedBatch.size(); ++index) {
        auto const inner = decapsulateGue(returnedBatch.packet(index));
        BOOST_REQUIRE(inner.has_value());
        BOOST_TEST(*inner == packets[index], boost::test_tools::per_element());
    }
    BOOST_TEST(first.receive(returnedBatch) == 0U);
    BOOST_TEST(returnedBatch.size() == 0U);
    auto const counters = first.counters();
    BOOST_TEST(counters.sentPackets == packets.size());
    BOOST_TEST(counters.receivedPackets == packets.size());
    BOOST_TEST(counters.receivedBytes == counters.sentBytes + packets.size() * gueHeaderSize);
    BOOST_TEST(counters.sendFailures + counters.kernelDrops + counters.receiveFailures == 0U);
}

// Guards against kernel drops that are not counted or counted twice. The kernel reports the total of all drops with
// each packet that it queues after a drop.
BOOST_DATA_TEST_CASE(kernel_drops_are_counted, loopbackAddresses, address)
{
    auto sender = openSocket(address);
    auto receiver = openSocket(address, { .receiveBufferBytes = 16384 });
    packet_batch smallBatch(6, 2048);
    packet_batch batch(64, 2048);
    auto const packet = udp(ipv4Flow, 1000);
    std::vector<outgoing_packet> const outgoing(200, { packet, receiver.localEndpoint() });
    size_t sent = 0;
    size_t received = 0;
    for (int round = 0; round < 3; ++round) {
        sent += sender.send(outgoing);
        BOOST_TEST_REQUIRE(receiver.waitReadable(std::chrono::seconds(5)));
        received += receiver.receive(smallBatch);
        // This packet carries the new drop count and is queued behind packets with the previous one.
        sent += sender.send(std::span(outgoing).first(1));
        received += drain(receiver, batch);
        BOOST_TEST(received < sent);
        BOOST_TEST(receiver.counters().kernelDrops == sent - received);
    }
    BOOST_TEST(receiver.counters().receivedPackets == received);
}

// Guards against a packet that cannot be sent and causes the rest of its batch to be dropped.
BOOST_AUTO_TEST_CASE(refused_packet_is_skipped_and_counted)
{
    auto sender = openSocket("127.0.0.1");
    auto receiver = openSocket("127.0.0.1");
    auto const packet = udp(ipv4Flow);
    bytes const tooLong(70000);
    ip_endpoint const otherFamily { *ip_address::parse("::1"), 9 };
    outgoing_packet const valid { packet, receiver.localEndpoint() };
    outgoing_packet const outgoing[] = { { packet, otherFamily }, valid, { tooLong, valid.destination }, valid };
    BOOST_TEST(sender.send(outgoing) == 2U);
    BOOST_TEST(sender.counters().sendFailures == 2U);
    BOOST_TEST(sender.counters().sentBytes == 2 * packet.size());
    packet_batch batch(8, 2048);
    BOOST_TEST(drain(receiver, batch) == 2U);
}

// Guards against a truncated packet that is parsed as a complete one, and against writes beyond its slot.
BOOST_AUTO_TEST_CASE(oversized_packet_is_truncated_and_counted)
{
    auto sender = openSocket("127.0.0.1");
    auto receiver = openSocket("127.0.0.1");
    auto const packet = udp(ipv4Flow, 200);
    BOOST_TEST(sender.send(std::array { outgoing_packet { packet, receiver.localEndpoint() } }) == 1U);
    packet_batch batch(1, 100);
    BOOST_TEST(receiver.waitReadable(std::chrono::seconds(5)));
    BOOST_TEST_REQUIRE(receiver.receive(batch) == 1U);
    BOOST_TEST(batch.packet(0).size() == 100U);
    BOOST_TEST(receiver.counters().oversizedPackets == 1U);
    BOOST_CHECK(parsePacket(batch.packet(0)) == parse_result(drop_reason::Truncated));
}

// Guards against create() succeeding for an address that is in use or does not belong to the host, or for an invalid
// messagesPerCall.
BOOST_AUTO_TEST_CASE(unusable_address_is_reported)
{
    auto const bound = openSocket("127.0.0.1");
    BOOST_TEST(bound.receiveBufferBytes() > 0);
    auto const duplicate = udp_packet_io::create(bound.localEndpoint());
    BOOST_CHECK(duplicate.status().code() == absl::StatusCode::kUnavailable);
    BOOST_TEST(duplicate.status().ToString().find(bound.localEndpoint().toText()) != std::string::npos);
    ip_endpoint const nonLocal { *ip_address::parse("192.0.2.1"), 0 };
    BOOST_CHECK(udp_packet_io::create(nonLocal).status().code() == absl::StatusCode::kUnavailable);
    for (size_t const messagesPerCall : { 0, 1025 }) {
        auto const refused
            = udp_packet_io::create({ *ip_address::parse("127.0.0.1"), 0 }, { .messagesPerCall = messagesPerCall });
        BOOST_CHECK(refused.status().code() == absl::StatusCode::kInvalidArgument);
    }
}

} // namespace
