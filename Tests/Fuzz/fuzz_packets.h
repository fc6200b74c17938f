#pragma once

#include "../Packet/packet_samples.h"
#include <cstdlib>
#include <span>
#include <vector>

namespace bilberryyard::fuzz {

/// Aborts the process when the condition is false, which the fuzzer reports as a finding.
inline void require(bool condition)
{
    if (!condition)
        std::abort();
}

/// Corrects the lengths and checksums of a packet. Random bytes almost never have a valid checksum, so they would be
/// rejected by the first checks of the parser.
inline std::vector<uint8_t> withCorrectedChecksums(std::span<uint8_t const> input)
{
    std::vector<uint8_t> packet(input.begin(), input.end());
    std::span<uint8_t> const bytes(packet);
    bool const isIpv4 = !packet.empty() && packet[0] >> 4 == 4;
    if (packet.size() < (isIpv4 ? ipv4HeaderSize : ipv6HeaderSize) || packet.size() > UINT16_MAX)
        return packet;
    size_t const headerSize = isIpv4 ? (packet[0] & 0x0f) * size_t { 4 } : ipv6HeaderSize;
    if (isIpv4 && headerSize >= ipv4HeaderSize && headerSize <= packet.size()) {
        storeBigEndian16(bytes, 2, static_cast<uint16_t>(packet.size()));
        storeBigEndian16(bytes, 10, 0);
        storeBigEndian16(bytes, 10, internetChecksum(bytes.first(headerSize)));
    } else if (!isIpv4) {
        storeBigEndian16(bytes, 4, static_cast<uint16_t>(packet.size() - ipv6HeaderSize));
    }
    auto const result = parseIpHeader(bytes, ip_header_scope::Packet);
    auto const* header = std::get_if<ip_header>(&result);
    if (!header)
        return packet;
    auto const segment = bytes.subspan(header->payloadOffset);
    auto const protocol = static_cast<ip_protocol>(header->protocol);
    if (protocol == ip_protocol::Udp && segment.size() >= udpHeaderSize)
        storeBigEndian16(segment, 4, static_cast<uint16_t>(segment.size()));
    bool const isIcmp = protocol == ip_protocol::Icmp || protocol == ip_protocol::Icmpv6;
    size_t const checksumOffset = protocol == ip_protocol::Tcp ? 16 : isIcmp ? 2 : 6;
    if (segment.size() < checksumOffset + 2)
        return packet;
    storeBigEndian16(segment, checksumOffset, 0);
    storeBigEndian16(segment, checksumOffset,
        protocol == ip_protocol::Icmp ? internetChecksum(segment)
                                      : transportChecksum(readSource(bytes, header->version),
                                          readDestination(bytes, header->version), header->protocol, segment));
    return packet;
}

/// @return Valid packets that cover each path of the parser.
inline std::vector<std::vector<uint8_t>> const& samplePackets()
{
    using namespace samples;
    static auto const packets = [] {
        std::vector<bytes> result;
        for (auto const& flow : { ipv4Flow, ipv6Flow }) {
            auto const code = flow.source.isIpv4() ? icmpPortUnreachable : icmpv6PortUnreachable;
            result.push_back(tcp(flow, { tcp_flags::syn, 100 }));
            result.push_back(tcp(flow, { tcp_flags::ack, 100, 500 }, 12));
            result.push_back(udp(flow));
            result.push_back(icmpError(code, flow, tcp(reversed(flow), {}, 12)));
            result.push_back(icmpError(code, flow, udp(reversed(flow))));
        }
        // These are one option or header below a limit, so that changing a single byte can exceed it.
        result.push_back(
            withIpv4Options(tcp(ipv4Flow, {}), { 7, 2, 7, 2, 7, 2, 7, 2, 7, 2, 7, 2, 7, 2, 7, 2, 1, 2, 0, 0 }));
        result.push_back(withExtensionHeaders(tcp(ipv6Flow, {}), 60, maximumExtensionHeaders));
        result.push_back(withExtensionHeader(withExtensionHeader(tcp(ipv6Flow, {}), 43, 2), 0));
        result.push_back(withExtensionHeader(withExtensionHeader(udp(ipv6Flow), 44, 0, 1), 60));
        return result;
    }();
    return packets;
}

/// Modifies a valid packet, because purely random bytes pass few checks of the parser. The first byte of the input
/// selects the packet, the second one the number of bytes removed from its end; pairs of offset and new value follow.
inline std::vector<uint8_t> modifiedSample(std::span<uint8_t const> input)
{
    if (input.size() < 2)
        return {};
    auto packet = samplePackets()[input[0] % samplePackets().size()];
    if (input[1] < packet.size())
        packet.resize(packet.size() - input[1]);
    for (input = input.subspan(2); input.size() >= 2; input = input.subspan(2))
        packet[input[0] % packet.size()] = input[1];
    return packet;
}

/// Calls a function with the input itself and with the packets derived from it.
template <typename Function>
void forEachPacket(std::span<uint8_t const> input, Function const& function)
{
    auto const modified = modifiedSample(input);
    function(input);
    function(withCorrectedChecksums(input));
    function(modified);
    function(withCorrectedChecksums(modified));
}

} // namespace bilberryyard::fuzz
