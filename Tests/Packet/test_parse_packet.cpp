#include "packet_samples.h"
#include <Packet/parsed_packet.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <set>

using namespace bilberryyard;
using namespace bilberryyard::samples;

namespace {

// Parses from an allocation of exactly the packet's size, so that the address sanitizer sees any read beyond it.
parse_result parseExact(std::span<uint8_t const> packet)
{
    auto const copy = std::make_unique<uint8_t[]>(packet.size());
    std::copy(packet.begin(), packet.end(), copy.get());
    return parsePacket({ copy.get(), packet.size() });
}

std::string reasonOf(parse_result const& result)
{
    auto const* reason = std::get_if<drop_reason>(&result);
    return reason ? std::string(dropReasonName(*reason)) : "accepted";
}

tcp_fields const syn { tcp_flags::syn, 100 };
tcp_fields const data { tcp_flags::ack | tcp_flags::psh, 101, 501 };

struct valid_row {
    std::string name;
    bytes packet;
    parsed_packet expected;
    friend std::ostream& operator<<(std::ostream& stream, valid_row const& row) { return stream << row.name; }
};

std::vector<valid_row> validRows()
{
    std::vector<valid_row> rows;
    for (auto const& flow : { ipv4Flow, ipv6Flow }) {
        std::string const family = flow.source.isIpv4() ? "ipv4 " : "ipv6 ";
        auto const udpFlow = withProtocol(flow, ip_protocol::Udp);
        parsed_packet const synFields { flow, packet_kind::TcpSyn, tcp_flags::syn, 100 };
        parsed_packet const icmpFields { flow, packet_kind::IcmpError };
        parsed_packet const udpIcmpFields { udpFlow, packet_kind::IcmpError };
        rows.push_back({ family + "SYN", tcp(flow, syn), synFields });
        rows.push_back({ family + "SYN ACK", tcp(flow, { tcp_flags::syn | tcp_flags::ack, 1, 2 }),
            { flow, packet_kind::TcpSegment, tcp_flags::syn | tcp_flags::ack, 1, 2 } });
        rows.push_back({ family + "segment", tcp(flow, data, 5),
            { flow, packet_kind::TcpSegment, tcp_flags::ack | tcp_flags::psh, 101, 501, 5 } });
        rows.push_back(
            { family + "RST", tcp(flow, { tcp_flags::rst, 7 }), { flow, packet_kind::TcpSegment, tcp_flags::rst, 7 } });
        rows.push_back({ family + "datagram", udp(flow), { udpFlow, packet_kind::Datagram, 0, 0, 0, 16 } });
        // The error quotes a packet of the service, so its direction is from service to caller.
        auto const response = tcp(reversed(flow), data, 40);
        auto const tooBig = flow.source.isIpv4() ? icmpFragmentationNeeded : icmpv6PacketTooBig;
        rows.push_back({ family + "packet too big", icmpError(tooBig, flow, response), icmpFields });
        rows.push_back({ family + "packet too big with 8 bytes of TCP",
            icmpError(tooBig, flow, firstBytes(response, transportOffset(response) + 8)), icmpFields });
        auto const unreachable = flow.source.isIpv4() ? icmpPortUnreachable : icmpv6PortUnreachable;
        rows.push_back(
            { family + "port unreachable", icmpError(unreachable, flow, udp(reversed(flow))), udpIcmpFields });
    }
    parsed_packet const ipv4Syn { ipv4Flow, packet_kind::TcpSyn, tcp_flags::syn, 100 };
    parsed_packet const ipv6Syn { ipv6Flow, packet_kind::TcpSyn, tcp_flags::syn, 100 };
    rows.push_back({ "8 IPv4 options",
        withIpv4Options(tcp(ipv4Flow, syn), { 1, 7, 2, 7, 2, 7, 2, 7, 2, 7, 2, 7, 2, 7, 2, 7, 2, 0, 0, 0 }), ipv4Syn });
    for (uint8_t const type : { 0, 43, 60 })
        rows.push_back(
            { "extension header " + std::to_string(type), withExtensionHeaders(tcp(ipv6Flow, syn), type, 1), ipv6Syn });
    rows.push_back({ "8 extension headers", withExtensionHeaders(tcp(ipv6Flow, syn), 60, 8), ipv6Syn });
    rows.push_back({ "quoted first fragment",
        icmpError(icmpFragmentationNeeded, ipv4Flow, withByte(tcp(reversed(ipv4Flow), data, 9), 6, 0x20)),
        { ipv4Flow, packet_kind::IcmpError } });
    rows.push_back({ "quoted first IPv6 fragment",
        icmpError(icmpv6PacketTooBig, ipv6Flow, withExtensionHeader(tcp(reversed(ipv6Flow), data, 9), 44, 0, 1)),
        { ipv6Flow, packet_kind::IcmpError } });
    rows.push_back({ "quoted packet with hop limit 0",
        icmpError({ 11, 0 }, ipv4Flow, withByte(tcp(reversed(ipv4Flow), data), 8, 0)),
        { ipv4Flow, packet_kind::IcmpError } });
    return rows;
}

struct dropped_row {
    std::string name;
    std::string reason;
    bytes packet;
    friend std::ostream& operator<<(std::ostream& stream, dropped_row const& row) { return stream << row.name; }
};

bytes tcpWithFlags(uint8_t flags) { return tcp(ipv4Flow, { flags }); }

// Truncates a packet and adjusts the length in its IP header.
bytes withTransportSize(bytes const& packet, size_t size)
{
    return edited(firstBytes(packet, transportOffset(packet) + size), [&](bytes& truncated) {
        bool const isIpv4 = truncated[0] >> 4 == 4;
        storeBigEndian16(truncated, isIpv4 ? 2 : 4, static_cast<uint16_t>(isIpv4 ? truncated.size() : size));
    });
}

// Returns an ICMP error that quotes an edited packet from the service of ipv4Flow.
bytes quotingEdited(std::function<void(bytes&)> const& edit)
{
    return icmpError(icmpFragmentationNeeded, ipv4Flow, edited(tcp(reversed(ipv4Flow), data), edit));
}

std::vector<dropped_row> droppedRows()
{
    auto const ipv4Syn = tcp(ipv4Flow, syn);
    auto const ipv6Syn = tcp(ipv6Flow, syn);
    auto const service = tcp(reversed(ipv4Flow), data);
    auto const otherService = tcp({ *ip_address::parse("198.51.100.2"), ipv4Flow.source, 80, 4000 }, data);
    auto mapped = ipv6Syn;
    std::copy_n(ipv4Flow.source.bytes.begin(), 16, mapped.begin() + 8);
    auto ipv4WithTrailingByte = ipv4Syn;
    ipv4WithTrailingByte.push_back(0);
    auto ipv6WithTrailingByte = ipv6Syn;
    ipv6WithTrailingByte.push_back(0);
    auto badChecksum = ipv4Syn;
    badChecksum[8] ^= 1;
    auto icmpWithBadChecksum = icmpError(icmpPortUnreachable, ipv4Flow, service);
    icmpWithBadChecksum.back() ^= 1;
    auto icmpv6WithBadChecksum = icmpError(icmpv6PortUnreachable, ipv6Flow, tcp(reversed(ipv6Flow), data));
    icmpv6WithBadChecksum.back() ^= 1;
    bytes const nineOptions { 7, 2, 7, 2, 7, 2, 7, 2, 7, 2, 7, 2, 7, 2, 7, 2, 7, 2, 1, 0 };
    return {
        { "no bytes", "truncated", {} },
        { "version 5", "bad_version", withByte(ipv4Syn, 0, 0x55) },
        { "mapped address in IPv6", "bad_version", mapped },
        { "IPv4 header of 16 bytes", "bad_length", withByte(ipv4Syn, 0, 0x44) },
        { "IPv4 total length below the header", "bad_length", withByte(ipv4Syn, 3, 19) },
        { "IPv4 trailing byte", "bad_length", ipv4WithTrailingByte },
        { "IPv6 trailing byte", "bad_length", ipv6WithTrailingByte },
        { "IPv4 option of length 0", "bad_length", withIpv4Options(ipv4Syn, { 7, 0, 0, 0 }) },
        { "IPv4 option of length 1", "bad_length", withIpv4Options(ipv4Syn, { 7, 1, 0, 0 }) },
        { "IPv4 option beyond the header", "bad_length", withIpv4Options(ipv4Syn, { 7, 5, 0, 0 }) },
        { "IPv4 option without length", "bad_length", withIpv4Options(ipv4Syn, { 1, 1, 1, 7 }) },
        { "TCP header of 16 bytes", "bad_length", withByte(ipv4Syn, 32, 0x40) },
        { "TCP header beyond the packet", "truncated", withByte(ipv4Syn, 32, 0x60) },
        { "TCP segment of 12 bytes", "truncated", withTransportSize(ipv4Syn, 12) },
        { "UDP datagram of 7 bytes", "truncated", withTransportSize(udp(ipv6Flow), 7) },
        { "ICMP message of 7 bytes", "truncated", withTransportSize(icmpWithBadChecksum, 7) },
        { "extension header of 7 bytes", "truncated", withTransportSize(withExtensionHeader(ipv6Syn, 60), 7) },
        { "extension header beyond the packet", "truncated", withByte(withExtensionHeader(ipv6Syn, 60), 41, 3) },
        { "UDP length below the data", "bad_length", withByte(udp(ipv4Flow), 25, 23) },
        { "UDP length above the data", "bad_length", withByte(udp(ipv6Flow), 45, 25) },
        { "IPv4 header checksum", "bad_checksum", badChecksum },
        { "ICMP checksum", "bad_checksum", icmpWithBadChecksum },
        { "ICMPv6 checksum", "bad_checksum", icmpv6WithBadChecksum },
        { "IPv4 TTL 0", "hop_limit_zero", withByte(ipv4Syn, 8, 0) },
        { "IPv6 hop limit 0", "hop_limit_zero", withByte(ipv6Syn, 7, 0) },
        { "IPv4 first fragment", "fragment", withByte(ipv4Syn, 6, 0x20) },
        { "IPv4 later fragment", "fragment", withByte(ipv4Syn, 7, 1) },
        { "IPv6 fragment", "fragment", withExtensionHeader(ipv6Syn, 44, 0, 1) },
        { "IPv6 atomic fragment", "fragment", withExtensionHeader(ipv6Syn, 44) },
        { "quoted later fragment", "fragment", quotingEdited([](bytes& packet) { packet[7] = 1; }) },
        { "9 IPv4 options", "too_many_extension_headers", withIpv4Options(ipv4Syn, nineOptions) },
        { "9 IPv6 extension headers", "too_many_extension_headers", withExtensionHeaders(ipv6Syn, 60, 9) },
        { "routing header type 0", "routing_header_type_0", withExtensionHeader(ipv6Syn, 43, 0, 1) },
        { "GRE", "unknown_protocol", withByte(ipv4Syn, 9, 47) },
        { "ICMPv6 in IPv4", "unknown_protocol", withByte(ipv4Syn, 9, 58) },
        { "ICMP in IPv6", "unknown_protocol", withByte(ipv6Syn, 6, 1) },
        { "late hop-by-hop header", "unknown_protocol", withExtensionHeaders(ipv6Syn, 0, 2) },
        { "SYN FIN", "bad_tcp_flags", tcpWithFlags(tcp_flags::syn | tcp_flags::fin) },
        { "SYN RST", "bad_tcp_flags", tcpWithFlags(tcp_flags::syn | tcp_flags::rst) },
        { "no flags", "bad_tcp_flags", tcpWithFlags(0) },
        { "ECN flags only", "bad_tcp_flags", tcpWithFlags(0xc0) },
        { "SYN with payload", "syn_with_payload", tcp(ipv4Flow, syn, 1) },
        { "echo request", "unsupported_icmp", icmpError({ 8, 0 }, ipv4Flow, service) },
        { "redirect", "unsupported_icmp", icmpError({ 5, 0 }, ipv4Flow, service) },
        { "ICMPv6 echo request", "unsupported_icmp", icmpError({ 128, 0 }, ipv6Flow, ipv6Syn) },
        { "error about another service", "unsupported_icmp", icmpError(icmpPortUnreachable, ipv4Flow, otherService) },
        { "error about ICMP", "unsupported_icmp", quotingEdited([](bytes& packet) { packet[9] = 1; }) },
        { "error that quotes IPv6", "bad_version", icmpError({ 3, 0 }, ipv4Flow, tcp(reversed(ipv6Flow), data)) },
        { "error that quotes 7 bytes of TCP", "truncated", icmpError({ 3, 0 }, ipv4Flow, firstBytes(service, 27)) },
        { "error that quotes nothing", "truncated", icmpError({ 3, 0 }, ipv4Flow, {}) },
    };
}

// Guards against wrongly parsed fields of a valid packet, which would forward it to the server of another flow.
BOOST_DATA_TEST_CASE(valid_packet_is_parsed, validRows(), row)
{
    auto const result = parseExact(row.packet);
    BOOST_TEST_REQUIRE(reasonOf(result) == "accepted");
    auto const& packet = std::get<parsed_packet>(result);
    BOOST_TEST(packet.key.toText() == row.expected.key.toText());
    BOOST_CHECK(packet == row.expected);
}

// Guards against a validation rule (docs/design.md section 3.1) that is not applied or is counted under another reason.
BOOST_DATA_TEST_CASE(invalid_packet_is_dropped, droppedRows(), row)
{
    BOOST_TEST(reasonOf(parseExact(row.packet)) == row.reason);
}

// Guards against reads beyond the end of a packet that is truncated at any position.
BOOST_DATA_TEST_CASE(cut_packet_is_truncated, validRows(), row)
{
    for (size_t size = 0; size < row.packet.size(); ++size)
        BOOST_TEST(reasonOf(parseExact(std::span(row.packet).first(size))) == "truncated", "at size " << size);
}

// Guards against a corrupted IPv4 header or ICMP error that is accepted, and against reads beyond the packet when a
// length field is corrupted.
BOOST_DATA_TEST_CASE(packet_with_flipped_bit_is_parsed_safely, validRows(), row)
{
    bool const isIpv4 = row.packet[0] >> 4 == 4;
    size_t const ipv4Header = isIpv4 ? (row.packet[0] & 0x0f) * 4 : 0;
    bool const isIcmp = row.expected.kind == packet_kind::IcmpError;
    for (size_t bit = 0; bit < row.packet.size() * 8; ++bit) {
        auto packet = row.packet;
        packet[bit / 8] ^= static_cast<uint8_t>(1 << bit % 8);
        bool const accepted = reasonOf(parseExact(packet)) == "accepted";
        if (bit / 8 < ipv4Header || (isIcmp && bit / 8 >= transportOffset(row.packet)))
            BOOST_TEST(!accepted, "bit " << bit);
    }
}

// Guards against two drop reasons with the same name, which would share a counter, and against a reason without a name.
BOOST_AUTO_TEST_CASE(drop_reason_names_are_distinct)
{
    std::set<std::string_view> names;
    for (size_t index = 0; index < dropReasonCount; ++index)
        names.insert(dropReasonName(static_cast<drop_reason>(index)));
    BOOST_TEST(names.size() == dropReasonCount);
    BOOST_TEST(!names.contains(""));
}

} // namespace
