#include "packet_samples.h"
#include <Packet/gue_encapsulation.h>
#include <Packet/packet_batch.h>
#include <Packet/relay_header.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace bilberryyard;
using namespace bilberryyard::samples;

namespace {

bytes joined(bytes first, bytes const& second)
{
    first.insert(first.end(), second.begin(), second.end());
    return first;
}

bytes const ipv4Packet = tcp(ipv4Flow, {});
bytes const ipv6Packet = tcp(ipv6Flow, {});

struct gue_row {
    std::string name;
    bytes header;
    bytes inner;
    friend std::ostream& operator<<(std::ostream& stream, gue_row const& row) { return stream << row.name; }
};

gue_row const plainGue[] = {
    { "IPv4", { 0, 4, 0, 0 }, ipv4Packet },
    { "IPv6", { 0, 41, 0, 0 }, ipv6Packet },
};

gue_row const gueWithOptions[] = {
    { "private data", { 1, 4, 0, 0, 1, 2, 3, 4 }, ipv4Packet },
};

gue_row const refusedGue[] = {
    { "short header", { 0, 4, 0 }, {} },
    { "variant 1", { 0x40, 4, 0, 0 }, ipv4Packet },
    { "variant 2", { 0x80, 4, 0, 0 }, ipv4Packet },
    { "control message", { 0x20, 4, 0, 0 }, ipv4Packet },
    { "unknown flags", { 0, 4, 0, 1 }, ipv4Packet },
    { "header beyond the datagram", { 0x1f, 4, 0, 0 }, ipv4Packet },
    { "no inner packet", { 0, 4, 0, 0 }, {} },
    { "protocol of another version", { 0, 41, 0, 0 }, ipv4Packet },
    { "protocol that is not IP", { 0, 17, 0, 0 }, ipv4Packet },
};

// Guards against a datagram that a stock kernel decapsulates and the emulator does not.
BOOST_DATA_TEST_CASE(gue_is_decapsulated, boost::unit_test::data::make(plainGue) + gueWithOptions, row)
{
    auto const datagram = joined(row.header, row.inner);
    auto const inner = decapsulateGue(datagram);
    BOOST_REQUIRE(inner.has_value());
    BOOST_TEST(bytes(inner->begin(), inner->end()) == row.inner, boost::test_tools::per_element());
}

// Guards against datagrams of other protocols on the port that are decapsulated as an inner packet.
BOOST_DATA_TEST_CASE(other_datagram_is_not_decapsulated, refusedGue, row)
{
    BOOST_TEST(!decapsulateGue(joined(row.header, row.inner)).has_value());
}

// Guards against a header that differs from draft-ietf-intarea-gue-09, and against a packet that is copied instead of
// encapsulated in place.
BOOST_DATA_TEST_CASE(gue_is_written_into_the_headroom, plainGue, row)
{
    auto buffer = joined(bytes(gueHeaderSize + 1, 0xff), row.inner);
    auto const datagram = encapsulateGue(buffer, gueHeaderSize + 1);
    BOOST_REQUIRE(datagram.has_value());
    BOOST_TEST(datagram->data() == buffer.data() + 1);
    BOOST_TEST(
        bytes(datagram->begin(), datagram->end()) == joined(row.header, row.inner), boost::test_tools::per_element());
}

// Guards against writes in front of the buffer and against the encapsulation of data that is not an IP packet.
BOOST_AUTO_TEST_CASE(encapsulation_needs_headroom_and_a_packet)
{
    auto buffer = joined(bytes(3), ipv4Packet);
    BOOST_TEST(!encapsulateGue(buffer, 3).has_value());
    BOOST_TEST(!encapsulateGue(buffer, buffer.size()).has_value());
    BOOST_TEST(!encapsulateGue(buffer, buffer.size() + 1).has_value());
    BOOST_TEST(!encapsulateGue(buffer, 4).has_value());
    bytes small(relayHeaderSize);
    BOOST_TEST(!prependRelayHeader(small, relayHeaderSize - 1, {}).has_value());
    BOOST_TEST(!prependRelayHeader(small, relayHeaderSize + 1, {}).has_value());
}

struct relay_row {
    std::string name;
    relay_header header;
    friend std::ostream& operator<<(std::ostream& stream, relay_row const& row) { return stream << row.name; }
};

relay_row const relayRows[] = {
    { "lookup", { relay_kind::Lookup, 1, 0, { 7 }, { 3 }, noServer, 0 } },
    { "record", { relay_kind::Record, 2, 1, { 0x01020304 }, { 0x05060708 }, { 0x090a0b0c }, 0x0d0e } },
    { "limits", { relay_kind::Record, 255, 255, { UINT32_MAX }, { UINT32_MAX }, { UINT32_MAX - 1 }, UINT16_MAX } },
};

// Guards against a field that is lost or swapped between balancers.
BOOST_DATA_TEST_CASE(relay_header_round_trips, relayRows, row)
{
    auto buffer = joined(bytes(relayHeaderSize), ipv4Packet);
    auto const datagram = prependRelayHeader(buffer, relayHeaderSize, row.header);
    BOOST_REQUIRE(datagram.has_value());
    auto const decoded = decodeRelayHeader(*datagram);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_CHECK(*decoded == row.header);
    for (size_t size = 0; size < relayHeaderSize; ++size)
        BOOST_TEST(!decodeRelayHeader(datagram->first(size)).has_value());
}

// Guards against a changed layout, which hosts with the previous version would decode wrongly.
BOOST_AUTO_TEST_CASE(relay_header_layout_is_fixed)
{
    bytes const expected { 0xb1, 0xb7, 1, 2, 2, 1, 13, 14, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12 };
    BOOST_TEST(encodeRelayHeader(relayRows[1].header) == expected, boost::test_tools::per_element());
}

struct relay_edit {
    size_t offset;
    uint8_t value;
    friend std::ostream& operator<<(std::ostream& stream, relay_edit const& row) { return stream << row.offset; }
};

// Both bytes of the magic number, the version, the invalid kinds 0 and 3, and a lookup with a server.
relay_edit const relayEdits[] = { { 0, 0x45 }, { 1, 0 }, { 2, 2 }, { 3, 0 }, { 3, 3 }, { 3, 1 } };

// Guards against an IP packet or a header of another version that is decoded as a relay header.
BOOST_DATA_TEST_CASE(invalid_relay_header_is_refused, relayEdits, edit)
{
    auto encoded = encodeRelayHeader(relayRows[1].header);
    encoded[edit.offset] = edit.value;
    BOOST_TEST(!decodeRelayHeader(encoded).has_value());
}

// Guards against a record without a server, which would leave the flow permanently without one.
BOOST_AUTO_TEST_CASE(record_without_server_is_refused)
{
    auto record = relayRows[1].header;
    record.server = noServer;
    BOOST_TEST(!decodeRelayHeader(encodeRelayHeader(record)).has_value());
}

} // namespace
