#pragma once

#include <Packet/ip_endpoint.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace bilberryyard {

/// An endpoint in the format of the socket system calls. IPv4 endpoints use AF_INET.
class socket_address {
public:
    /// Makes an empty address with capacity for either family.
    socket_address();

    explicit socket_address(ip_endpoint const& endpoint);

    /// @return The address and port; the unspecified IPv6 address when the family is neither IPv4 nor IPv6.
    ip_endpoint toEndpoint() const;

    sa_family_t family() const { return m_storage.family; }
    sockaddr* data() { return reinterpret_cast<sockaddr*>(&m_storage); }
    sockaddr const* data() const { return reinterpret_cast<sockaddr const*>(&m_storage); }

    /// @return Size of the address of this family.
    socklen_t size() const { return family() == AF_INET ? sizeof(sockaddr_in) : sizeof(sockaddr_in6); }

    /// Size of the buffer that data() points to, in bytes.
    static constexpr socklen_t capacity = sizeof(sockaddr_in6);

private:
    union {
        sa_family_t family;
        sockaddr_in ipv4;
        sockaddr_in6 ipv6;
    } m_storage;
};

} // namespace bilberryyard
