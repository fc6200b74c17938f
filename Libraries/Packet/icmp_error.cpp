#include <Packet/icmp_error.h>

#include <Packet/byte_order.h>
#include <Packet/checksum.h>
#include <Packet/ip_header.h>
#include <algorithm>

namespace bilberryyard {

namespace {

    constexpr uint8_t icmpHopLimit = 64;

} // namespace

bool isIcmpErrorType(uint8_t ipVersion, uint8_t type) noexcept
{
    // RFC 792: destination unreachable, time exceeded, parameter problem.
    if (ipVersion == 4)
        return type == 3 || type == 11 || type == 12;
    // RFC 4443 section 3: destination unreachable, packet too big, time exceeded, parameter problem.
    return type >= 1 && type <= 4;
}

std::optional<size_t> writeIcmpError(
    icmp_error_fields const& fields, std::span<uint8_t const> offending, std::span<uint8_t> output) noexcept
{
    bool const isIpv4 = fields.destination.isIpv4();
    if (isIpv4 != fields.source.isIpv4())
        return std::nullopt;
    size_t const headerSize = ipHeaderSizeFor(fields.destination) + icmpHeaderSize;
    size_t const limit = isIpv4 ? maximumIcmpv4ErrorSize : maximumIcmpv6ErrorSize;
    auto const quoted = offending.first(std::min(offending.size(), limit - headerSize));
    size_t const size = headerSize + quoted.size();
    if (output.size() < size)
        return std::nullopt;
    auto const protocol = static_cast<uint8_t>(isIpv4 ? ip_protocol::Icmp : ip_protocol::Icmpv6);
    size_t const offset = writeIpHeader(
        { fields.source, fields.destination, protocol, icmpHopLimit }, icmpHeaderSize + quoted.size(), output);
    auto const message = output.first(size).subspan(offset);
    message[0] = fields.code.type;
    message[1] = fields.code.code;
    storeBigEndian16(message, 2, 0);
    storeBigEndian32(message, 4, fields.parameter);
    std::copy(quoted.begin(), quoted.end(), message.begin() + icmpHeaderSize);
    storeBigEndian16(message, 2,
        isIpv4 ? internetChecksum(message) : transportChecksum(fields.source, fields.destination, protocol, message));
    return size;
}

} // namespace bilberryyard
