#pragma once

#include <Packet/ip_endpoint.h>
#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <sys/socket.h>
#include <unistd.h>

namespace bilberryyard::samples {

/// @return A loopback endpoint with a TCP port that is not in use at the time of the call.
inline ip_endpoint freeEndpoint()
{
    int const socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    BOOST_REQUIRE(::bind(socket, reinterpret_cast<sockaddr*>(&address), size) == 0);
    BOOST_REQUIRE(::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    ::close(socket);
    return { ip_address::fromIpv4(INADDR_LOOPBACK), ntohs(address.sin_port) };
}

/// Repeats an attempt until it succeeds. The timeout is long because the machine may be busy.
/// @param attempt Returns whether it succeeded. It must wait a little itself, since there is no delay between attempts.
/// @return Whether it succeeded within 30 s.
template <typename Attempt>
bool succeeds(Attempt const& attempt)
{
    auto const end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    do {
        if (attempt())
            return true;
    } while (std::chrono::steady_clock::now() < end);
    return false;
}

} // namespace bilberryyard::samples
