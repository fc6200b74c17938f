#include <Packet/ip_address.h>

#include <Base/error_kind.h>
#include <algorithm>
#include <arpa/inet.h>

namespace bilberryyard {

namespace {

    constexpr std::array<uint8_t, 12> ipv4MappedPrefix { 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff };

} // namespace

ip_address ip_address::fromIpv4(uint32_t address)
{
    ip_address result;
    std::copy(ipv4MappedPrefix.begin(), ipv4MappedPrefix.end(), result.bytes.begin());
    for (int index = 0; index < 4; ++index)
        result.bytes[12 + index] = static_cast<uint8_t>(address >> (24 - 8 * index));
    return result;
}

absl::StatusOr<ip_address> ip_address::parse(std::string_view text)
{
    std::string const terminated(text);
    in_addr ipv4 {};
    if (inet_pton(AF_INET, terminated.c_str(), &ipv4) == 1)
        return fromIpv4(ntohl(ipv4.s_addr));
    ip_address result;
    if (inet_pton(AF_INET6, terminated.c_str(), result.bytes.data()) == 1)
        return result;
    return makeError(error_kind::InvalidArgument, "'" + terminated + "' is not an IPv4 or IPv6 address");
}

bool ip_address::isIpv4() const { return std::equal(ipv4MappedPrefix.begin(), ipv4MappedPrefix.end(), bytes.begin()); }

uint32_t ip_address::toIpv4() const
{
    uint32_t address = 0;
    for (int index = 0; index < 4; ++index)
        address = address << 8 | bytes[12 + index];
    return address;
}

std::string ip_address::toText() const
{
    std::array<char, INET6_ADDRSTRLEN> text {};
    if (isIpv4())
        inet_ntop(AF_INET, bytes.data() + 12, text.data(), text.size());
    else
        inet_ntop(AF_INET6, bytes.data(), text.data(), text.size());
    return text.data();
}

} // namespace bilberryyard
