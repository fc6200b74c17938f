#include <Fleet/packet_format.h>
#include <algorithm>
#include <array>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <platform/segment_format.h>
#include <vector>

using namespace bilberryyard;
using platform::segment_format;

namespace {

static_assert(packet_format<segment_format>);

// Example from the platform's protocol specification: an opening packet from 100.64.0.7:40001 to 198.18.0.1:443.
std::vector<uint8_t> openingPacket()
{
    return { 0x01, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x11, 0x22, 0x33, 0x44, 0x00, 0x00, 0x00, 0x00,
        0xa1, 0xb2, 0xc3, 0xd5, 0x00, 0x00, 0x01, 0xbb, 0x64, 0x40, 0x00, 0x07, 0x9c, 0x41, 0xc6, 0x12, 0x00, 0x01 };
}

BOOST_AUTO_TEST_CASE(opening_packet_is_decoded)
{
    auto const packet = segment_format::parse(openingPacket());
    BOOST_REQUIRE(packet.has_value());
    BOOST_CHECK(packet->purpose == packet_purpose::Open);
    BOOST_TEST(packet->flowEndpoints.caller.toText() == "100.64.0.7:40001");
    BOOST_TEST(packet->flowEndpoints.service.toText() == "198.18.0.1:443");
    BOOST_TEST(packet->sequence == 0x11223344u);
    BOOST_TEST(packet->retransmissionCount == 0u);
    BOOST_TEST(packet->token == noToken);
}

BOOST_AUTO_TEST_CASE(reset_matches_the_protocol)
{
    std::array<uint8_t, 36> const expected { 0x20, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0,
        0x9c, 0x41, 0xc6, 0x12, 0x00, 0x01, 0x01, 0xbb, 0x64, 0x40, 0x00, 0x07 };
    auto const reset = segment_format::makeReset(*segment_format::parse(openingPacket()));
    BOOST_TEST(std::equal(reset.begin(), reset.end(), expected.begin(), expected.end(),
        [](char left, uint8_t right) { return static_cast<uint8_t>(left) == right; }));
}

// Guards against a packet that its receiver rejects as forged: only the token may change.
BOOST_AUTO_TEST_CASE(setting_the_token_changes_no_other_bytes)
{
    auto packet = openingPacket();
    auto const before = packet;
    segment_format::setToken(packet, 0xdeadbeef);
    BOOST_TEST(segment_format::parse(packet)->token == 0xdeadbeefu);
    for (size_t index = 0; index < packet.size(); ++index) {
        if (index < 6 || index >= 10)
            BOOST_TEST(packet[index] == before[index]);
    }
}

struct packet_row {
    char const* name;
    void (*change)(std::vector<uint8_t>&);
    std::optional<packet_purpose> purpose;
};
std::ostream& operator<<(std::ostream& stream, packet_row const& row) { return stream << row.name; }

packet_row const packetRows[] = {
    { "acknowledgement", [](std::vector<uint8_t>& packet) { packet[0] = 64; }, packet_purpose::Continue },
    { "finish", [](std::vector<uint8_t>& packet) { packet[0] = 64 | 16; }, packet_purpose::Finish },
    { "reset", [](std::vector<uint8_t>& packet) { packet[0] = 32; }, packet_purpose::Abort },
    { "bounced", [](std::vector<uint8_t>& packet) { packet[0] |= 128; }, std::nullopt },
    { "reply to an opening packet", [](std::vector<uint8_t>& packet) { packet[0] = 1 | 64; }, std::nullopt },
    { "opening and reset", [](std::vector<uint8_t>& packet) { packet[0] = 1 | 32; }, std::nullopt },
    { "truncated", [](std::vector<uint8_t>& packet) { packet.pop_back(); }, std::nullopt },
    { "empty", [](std::vector<uint8_t>& packet) { packet.clear(); }, std::nullopt },
    { "longer than its length field", [](std::vector<uint8_t>& packet) { packet.push_back(0); }, std::nullopt },
    { "more data than the maximum",
        [](std::vector<uint8_t>& packet) {
            packet.resize(36 + 1'201);
            packet[22] = 0x04;
            packet[23] = 0xb1;
        },
        std::nullopt },
};

// Guards against malformed packets that are forwarded or crash the process.
BOOST_DATA_TEST_CASE(packet_is_decoded_or_rejected, packetRows, row)
{
    auto packet = openingPacket();
    row.change(packet);
    auto const decoded = segment_format::parse(packet);
    BOOST_REQUIRE(decoded.has_value() == row.purpose.has_value());
    if (decoded)
        BOOST_CHECK(decoded->purpose == *row.purpose);
}

BOOST_AUTO_TEST_CASE(prefix_contains_the_tag_in_big_endian)
{
    std::array<uint8_t, 8> prefix {};
    segment_format::writePrefix(prefix, 0x7f3a91c2);
    std::array<uint8_t, 8> const expected { 0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2 };
    BOOST_TEST((prefix == expected));
}

} // namespace
