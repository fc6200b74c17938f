#include "packet_samples.h"
#include <Packet/rejection.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace bilberryyard;
using namespace bilberryyard::samples;

namespace {

using builder_function = std::optional<size_t> (*)(std::span<uint8_t const>, std::span<uint8_t>) noexcept;

bytes build(builder_function function, bytes const& offending)
{
    bytes output(maximumRejectionSize);
    output.resize(function(offending, output).value_or(0));
    return output;
}

// A reference implementation, independent of Libraries/Packet/checksum.cpp, that sums 16-bit words one by one. Data
// with a correct checksum sums to 0xffff.
uint32_t referenceSum(std::span<uint8_t const> data, uint32_t sum = 0)
{
    for (size_t index = 0; index < data.size(); ++index)
        sum += index % 2 == 0 ? data[index] << 8 : data[index];
    while (sum > 0xffff)
        sum = (sum & 0xffff) + (sum >> 16);
    return sum;
}

// The sum over transport header, payload and pseudo-header of a packet without options or extension headers.
uint32_t transportSum(bytes const& packet)
{
    bool const isIpv4 = packet[0] >> 4 == 4;
    auto const addresses = isIpv4 ? std::span(packet).subspan(12, 8) : std::span(packet).subspan(8, 32);
    auto const segment = std::span(packet).subspan(transportOffset(packet));
    uint8_t const protocol = packet[isIpv4 ? 9 : 6];
    if (protocol == static_cast<uint8_t>(ip_protocol::Icmp))
        return referenceSum(segment);
    return referenceSum(segment, referenceSum(addresses, static_cast<uint32_t>(protocol + segment.size())));
}

parsed_packet parsed(bytes const& packet) { return std::get<parsed_packet>(parsePacket(packet)); }

struct reset_row {
    std::string name;
    tcp_fields offending;
    size_t payload;
    tcp_fields expected;
    friend std::ostream& operator<<(std::ostream& stream, reset_row const& row) { return stream << row.name; }
};

constexpr uint8_t ack = tcp_flags::ack;
constexpr uint8_t rstAck = tcp_flags::rst | tcp_flags::ack;

reset_row const resetRows[] = {
    { "SYN", { tcp_flags::syn, 100 }, 0, { rstAck, 0, 101 } },
    { "SYN at the end of the sequence space", { tcp_flags::syn, UINT32_MAX }, 0, { rstAck, 0, 0 } },
    { "segment without ACK", { tcp_flags::psh, 100 }, 7, { rstAck, 0, 107 } },
    { "FIN without ACK", { tcp_flags::fin, 100 }, 7, { rstAck, 0, 108 } },
    { "ACK", { ack, 100, 500 }, 0, { tcp_flags::rst, 500, 0 } },
    { "data", { ack, 100, 500 }, 9, { tcp_flags::rst, 500, 0 } },
    { "FIN ACK", { ack | tcp_flags::fin, 100, 500 }, 0, { tcp_flags::rst, 500, 0 } },
    { "SYN ACK", { ack | tcp_flags::syn, 100, 500 }, 0, { tcp_flags::rst, 500, 0 } },
};

flow_key const flows[] = { ipv4Flow, ipv6Flow };

struct refused_row {
    std::string name;
    builder_function function;
    bytes packet;
    friend std::ostream& operator<<(std::ostream& stream, refused_row const& row) { return stream << row.name; }
};

flow_key withSource(flow_key key, char const* address)
{
    key.source = *ip_address::parse(address);
    return key;
}

std::vector<refused_row> refusedRows()
{
    std::vector<refused_row> rows;
    for (auto const& flow : flows) {
        std::string const family = flow.source.isIpv4() ? "ipv4 " : "ipv6 ";
        auto const code = flow.source.isIpv4() ? icmpPortUnreachable : icmpv6PortUnreachable;
        auto const error = icmpError(code, flow, tcp(reversed(flow), {}));
        auto const noChecksum
            = edited(udp(flow), [](bytes& packet) { storeBigEndian16(packet, transportOffset(packet) + 6, 0); });
        rows.push_back({ family + "RST to RST", buildTcpReset, tcp(flow, { tcp_flags::rst, 5 }) });
        rows.push_back({ family + "RST to RST ACK", buildTcpReset, tcp(flow, { rstAck, 5, 6 }) });
        rows.push_back({ family + "RST to UDP", buildTcpReset, udp(flow) });
        rows.push_back({ family + "RST to ICMP error", buildTcpReset, error });
        rows.push_back({ family + "RST to SYN with payload", buildTcpReset, tcp(flow, { tcp_flags::syn, 5 }, 3) });
        rows.push_back({ family + "ICMP error to ICMP error", buildPortUnreachable, error });
        rows.push_back({ family + "ICMP error to TCP", buildPortUnreachable, tcp(flow, {}) });
        if (!flow.source.isIpv4())
            rows.push_back({ "ICMPv6 error to UDP without checksum", buildPortUnreachable, noChecksum });
    }
    for (auto const* source : { "0.0.0.0", "224.0.0.1", "255.255.255.255" }) {
        rows.push_back({ std::string("RST to ") + source, buildTcpReset, tcp(withSource(ipv4Flow, source), {}) });
        rows.push_back(
            { std::string("ICMP error to ") + source, buildPortUnreachable, udp(withSource(ipv4Flow, source)) });
    }
    for (auto const* source : { "::", "ff02::1" })
        rows.push_back(
            { std::string("ICMPv6 error to ") + source, buildPortUnreachable, udp(withSource(ipv6Flow, source)) });
    return rows;
}

// Guards against an RST that the caller's TCP ignores, due to wrong sequence numbers, direction or checksum.
BOOST_DATA_TEST_CASE(reset_follows_rfc9293, boost::unit_test::data::make(flows) * resetRows, flow, row)
{
    auto const reset = build(buildTcpReset, tcp(flow, row.offending, row.payload));
    BOOST_TEST_REQUIRE(reset.size() == ipHeaderSizeFor(flow.source) + tcpHeaderSize);
    auto const fields = parsed(reset);
    BOOST_TEST(fields.key.toText() == reversed(flow).toText());
    BOOST_TEST(int { fields.tcpFlags } == int { row.expected.flags });
    BOOST_TEST(fields.tcpSequence == row.expected.sequence);
    BOOST_TEST(fields.tcpAcknowledgement == row.expected.acknowledgement);
    BOOST_TEST(transportSum(reset) == 0xffffU);
    // An RST must not cause another RST, or two balancers would exchange them endlessly.
    BOOST_TEST(build(buildTcpReset, reset).empty());
}

// Guards against an ICMP error that the caller's kernel cannot match to its socket, or that is larger than allowed.
BOOST_DATA_TEST_CASE(port_unreachable_quotes_the_datagram,
    boost::unit_test::data::make(flows) * boost::unit_test::data::make({ 0, 16, 17, 4000 }), flow, payload)
{
    bool const isIpv4 = flow.source.isIpv4();
    auto const datagram = udp(flow, static_cast<size_t>(payload));
    auto const error = build(buildPortUnreachable, datagram);
    size_t const limit = isIpv4 ? maximumIcmpv4ErrorSize : maximumIcmpv6ErrorSize;
    size_t const quote = transportOffset(datagram) + icmpHeaderSize;
    BOOST_TEST_REQUIRE(error.size() == std::min(limit, quote + datagram.size()));
    BOOST_TEST(int { error[transportOffset(error)] } == (isIpv4 ? 3 : 1));
    BOOST_TEST(int { error[transportOffset(error) + 1] } == (isIpv4 ? 3 : 4));
    BOOST_CHECK(std::equal(error.begin() + static_cast<std::ptrdiff_t>(quote), error.end(), datagram.begin()));
    BOOST_TEST(transportSum(error) == 0xffffU);
    // The error is sent to the sender of the quoted datagram, so its key is that of the opposite direction.
    BOOST_TEST(parsed(error).key.toText() == reversed(withProtocol(flow, ip_protocol::Udp)).toText());
    BOOST_TEST(build(buildPortUnreachable, error).empty());
}

// Guards against rejection loops and against rejections sent to addresses that are not a single host.
BOOST_DATA_TEST_CASE(unrejectable_packet_gets_no_rejection, refusedRows(), row)
{
    BOOST_TEST(build(row.function, row.packet).empty());
}

// Guards against a rejection of another flow after a transmission error. The test skips the fields of the IPv6 header
// outside the pseudo-header, because no checksum protects them.
BOOST_DATA_TEST_CASE(damaged_packet_is_not_rejected, flows, flow)
{
    for (auto const& [function, packet] : { std::pair { &buildTcpReset, tcp(flow, { ack, 100, 500 }, 5) },
             std::pair { &buildPortUnreachable, udp(flow, 5) } }) {
        BOOST_TEST(!build(function, packet).empty());
        for (size_t bit = flow.source.isIpv4() ? 0 : 64; bit < packet.size() * 8; ++bit) {
            auto damaged = packet;
            damaged[bit / 8] ^= static_cast<uint8_t>(1 << bit % 8);
            BOOST_TEST(build(function, damaged).empty(), "bit " << bit);
        }
    }
}

// Guards against writes beyond a short output buffer.
BOOST_DATA_TEST_CASE(short_output_is_refused, flows, flow)
{
    for (auto const& [function, packet] :
        { std::pair { &buildTcpReset, tcp(flow, {}) }, std::pair { &buildPortUnreachable, udp(flow) } }) {
        for (size_t size = 0; size < build(function, packet).size(); ++size) {
            bytes output(size);
            BOOST_TEST(!function(packet, output).has_value());
        }
    }
}

// Guards against packets of the emulator that a real network stack drops: when the UDP checksum is computed as 0,
// 0xffff must be sent.
BOOST_DATA_TEST_CASE(built_datagrams_have_valid_checksums, flows, flow)
{
    int allOnes = 0;
    for (uint32_t port = 0; port <= UINT16_MAX; ++port) {
        auto key = flow;
        key.sourcePort = static_cast<uint16_t>(port);
        auto const datagram = udp(key, 3);
        auto const checksum = loadBigEndian16(datagram, transportOffset(datagram) + 6);
        BOOST_REQUIRE(checksum != 0);
        BOOST_REQUIRE(transportSum(datagram) == 0xffffU);
        allOnes += checksum == 0xffff ? 1 : 0;
    }
    BOOST_TEST(allOnes > 0);
}

// Guards against packets with addresses of different families or with a size that exceeds the length field.
BOOST_AUTO_TEST_CASE(builder_refuses_invalid_packets)
{
    BOOST_TEST(!packet_builder::create({ ipv4Flow.source, ipv6Flow.destination }).ok());
    BOOST_TEST(tcp(ipv4Flow, {}, 65535 - 40).size() == 65535U);
    BOOST_TEST(tcp(ipv4Flow, {}, 65535 - 39).empty());
    BOOST_TEST(udp(ipv6Flow, 65536).empty());
}

} // namespace
