#pragma once

#include <Packet/byte_order.h>
#include <Packet/checksum.h>
#include <Packet/icmp_error.h>
#include <Packet/ip_header.h>
#include <Packet/packet_builder.h>
#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace bilberryyard {

inline std::ostream& operator<<(std::ostream& stream, flow_key const& key) { return stream << key.toText(); }

} // namespace bilberryyard

namespace bilberryyard::samples {

using bytes = std::vector<uint8_t>;

inline flow_key const ipv4Flow { *ip_address::parse("192.0.2.1"), *ip_address::parse("198.51.100.1"), 4000, 80 };
inline flow_key const ipv6Flow { *ip_address::parse("2001:db8::1"), *ip_address::parse("2001:db8:f::1"), 4000, 80 };

inline flow_key reversed(flow_key const& key)
{
    return { key.destination, key.source, key.destinationPort, key.sourcePort, key.protocol };
}

inline flow_key withProtocol(flow_key key, ip_protocol protocol)
{
    key.protocol = protocol;
    return key;
}

inline bytes tcp(flow_key const& key, tcp_fields const& fields, size_t payload = 0)
{
    return packet_builder::create(key)->tcp(fields, bytes(payload, 'x'));
}

inline bytes udp(flow_key const& key, size_t payload = 16)
{
    return packet_builder::create(key)->udp(bytes(payload, 'x'));
}

/// Recomputes the IPv4 header checksum after an edit.
inline bytes repaired(bytes packet)
{
    if (packet[0] >> 4 != 4)
        return packet;
    auto const header = std::span(packet).first((packet[0] & 0x0f) * 4);
    storeBigEndian16(header, 10, 0);
    storeBigEndian16(header, 10, internetChecksum(header));
    return packet;
}

inline bytes edited(bytes packet, std::function<void(bytes&)> const& edit)
{
    edit(packet);
    return repaired(std::move(packet));
}

inline bytes withByte(bytes packet, size_t offset, uint8_t value)
{
    return edited(std::move(packet), [&](bytes& data) { data.at(offset) = value; });
}

/// Inserts IPv4 options; their size must be a multiple of 4.
inline bytes withIpv4Options(bytes packet, bytes const& options)
{
    return edited(std::move(packet), [&](bytes& data) {
        data.insert(data.begin() + ipv4HeaderSize, options.begin(), options.end());
        data[0] = static_cast<uint8_t>(data[0] + options.size() / 4);
        storeBigEndian16(data, 2, static_cast<uint16_t>(data.size()));
    });
}

/// Inserts an 8-byte IPv6 extension header before the existing ones.
inline bytes withExtensionHeader(bytes packet, uint8_t type, uint8_t third = 0, uint8_t fourth = 0)
{
    bytes const header { packet[6], 0, third, fourth, 0, 0, 0, 0 };
    packet.insert(packet.begin() + ipv6HeaderSize, header.begin(), header.end());
    packet[6] = type;
    storeBigEndian16(packet, 4, static_cast<uint16_t>(packet.size() - ipv6HeaderSize));
    return packet;
}

inline bytes withExtensionHeaders(bytes packet, uint8_t type, int count)
{
    for (int index = 0; index < count; ++index)
        packet = withExtensionHeader(std::move(packet), type, 1);
    return packet;
}

/// Returns an ICMP error that a router sends to the service and that quotes the given bytes.
inline bytes icmpError(icmp_error_code code, flow_key const& flow, bytes const& quoted)
{
    bytes packet(maximumIcmpv6ErrorSize);
    auto const router = *ip_address::parse(flow.source.isIpv4() ? "203.0.113.9" : "2001:db8:9::9");
    packet.resize(writeIcmpError({ router, flow.destination, code, 1400 }, quoted, packet).value());
    return packet;
}

inline bytes firstBytes(bytes packet, size_t count)
{
    packet.resize(count);
    return packet;
}

/// Offset of the transport header of a packet without options or extension headers.
inline size_t transportOffset(bytes const& packet) { return packet[0] >> 4 == 4 ? ipv4HeaderSize : ipv6HeaderSize; }

} // namespace bilberryyard::samples
