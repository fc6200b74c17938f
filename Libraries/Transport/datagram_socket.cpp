#include <Transport/datagram_socket.h>

#include <Base/error_kind.h>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace bilberryyard {

namespace {

    sockaddr_in toSocketAddress(ip_endpoint const& endpoint)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(endpoint.port);
        address.sin_addr.s_addr = htonl(endpoint.address.toIpv4());
        return address;
    }

} // namespace

datagram_socket::datagram_socket(int descriptor)
    : m_descriptor(descriptor)
{
}

datagram_socket::datagram_socket(datagram_socket&& other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
    , m_unsent(other.m_unsent)
{
}

datagram_socket& datagram_socket::operator=(datagram_socket&& other) noexcept
{
    std::swap(m_descriptor, other.m_descriptor);
    std::swap(m_unsent, other.m_unsent);
    return *this;
}

datagram_socket::~datagram_socket()
{
    if (m_descriptor >= 0)
        close(m_descriptor);
}

absl::StatusOr<datagram_socket> datagram_socket::create(ip_endpoint const& address, int receiveBufferBytes)
{
    datagram_socket result(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    auto const fail = [&](char const* step) {
        return makeError(
            error_kind::Unavailable, std::string(step) + " " + address.toText() + ": " + std::strerror(errno));
    };
    if (result.m_descriptor < 0)
        return fail("cannot create a UDP socket for");
    if (receiveBufferBytes > 0
        && setsockopt(result.m_descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes)) != 0)
        return fail("cannot set the receive buffer size of the UDP socket for");
    auto const socketAddress = toSocketAddress(address);
    if (bind(result.m_descriptor, reinterpret_cast<sockaddr const*>(&socketAddress), sizeof(socketAddress)) != 0)
        return fail("cannot bind a UDP socket to");
    return result;
}

bool datagram_socket::receive(std::span<uint8_t> buffer, received& datagram)
{
    sockaddr_in address {};
    socklen_t length = sizeof(address);
    auto const count = recvfrom(
        m_descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&address), &length);
    if (count < 0)
        return false;
    datagram.sender = { ip_address::fromIpv4(ntohl(address.sin_addr.s_addr)), ntohs(address.sin_port) };
    datagram.size = static_cast<size_t>(count);
    return true;
}

bool datagram_socket::send(ip_endpoint const& receiver, std::string_view bytes)
{
    auto const address = toSocketAddress(receiver);
    auto const count = sendto(m_descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
        reinterpret_cast<sockaddr const*>(&address), sizeof(address));
    if (count == static_cast<ssize_t>(bytes.size()))
        return true;
    ++m_unsent;
    return false;
}

} // namespace bilberryyard
