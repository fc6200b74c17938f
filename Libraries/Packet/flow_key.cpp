#include <Packet/flow_key.h>

#include <Base/hashing.h>
#include <Packet/ip_endpoint.h>

namespace bilberryyard {

namespace {

    std::string protocolText(ip_protocol protocol)
    {
        switch (protocol) {
        case ip_protocol::Tcp:
            return "tcp";
        case ip_protocol::Udp:
            return "udp";
        case ip_protocol::Icmp:
            return "icmp";
        case ip_protocol::Icmpv6:
            return "icmpv6";
        }
        return std::to_string(static_cast<int>(protocol));
    }

} // namespace

std::string flow_key::toText() const
{
    return protocolText(protocol) + " " + ip_endpoint { source, sourcePort }.toText() + " -> "
        + ip_endpoint { destination, destinationPort }.toText();
}

uint64_t hashFlow(flow_key const& key, uint64_t seed)
{
    return hashBytes({ reinterpret_cast<uint8_t const*>(&key), sizeof(key) }, seed);
}

} // namespace bilberryyard
