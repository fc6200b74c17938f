#include <Packet/socket_address.h>

#include <arpa/inet.h>
#include <cstring>

namespace bilberryyard {

socket_address::socket_address()
    : m_storage { .ipv6 = {} }
{
}

socket_address::socket_address(ip_endpoint const& endpoint)
    : socket_address()
{
    if (endpoint.address.isIpv4()) {
        m_storage.ipv4.sin_family = AF_INET;
        m_storage.ipv4.sin_port = htons(endpoint.port);
        std::memcpy(&m_storage.ipv4.sin_addr, endpoint.address.bytes.data() + 12, 4);
        return;
    }
    m_storage.ipv6.sin6_family = AF_INET6;
    m_storage.ipv6.sin6_port = htons(endpoint.port);
    std::memcpy(&m_storage.ipv6.sin6_addr, endpoint.address.bytes.data(), 16);
}

ip_endpoint socket_address::toEndpoint() const
{
    if (family() == AF_INET)
        return { ip_address::fromIpv4(ntohl(m_storage.ipv4.sin_addr.s_addr)), ntohs(m_storage.ipv4.sin_port) };
    ip_endpoint endpoint;
    if (family() == AF_INET6) {
        std::memcpy(endpoint.address.bytes.data(), &m_storage.ipv6.sin6_addr, 16);
        endpoint.port = ntohs(m_storage.ipv6.sin6_port);
    }
    return endpoint;
}

} // namespace bilberryyard
