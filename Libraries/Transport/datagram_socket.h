#pragma once

#include <Packet/ip_endpoint.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <span>
#include <string_view>

namespace bilberryyard {

/// A UDP socket over IPv4 that never blocks.
class datagram_socket {
public:
    /// @param address Address and port to bind.
    /// @param receiveBufferBytes Size of the kernel's receive buffer; 0 leaves the system's default.
    /// @return The socket; Unavailable when the port cannot be bound.
    static absl::StatusOr<datagram_socket> create(ip_endpoint const& address, int receiveBufferBytes = 0);

    datagram_socket(datagram_socket&& other) noexcept;
    datagram_socket& operator=(datagram_socket&& other) noexcept;
    datagram_socket(datagram_socket const&) = delete;
    datagram_socket& operator=(datagram_socket const&) = delete;
    ~datagram_socket();

    /// A received datagram.
    struct received {
        ip_endpoint sender;
        size_t size = 0;
    };

    /// @param buffer Receives the datagram.
    /// @param[out] datagram Where it came from, and its size.
    /// @return Whether there was one.
    bool receive(std::span<uint8_t> buffer, received& datagram);

    /// @param receiver Where to send.
    /// @param bytes The datagram.
    /// @return Whether the kernel took it.
    bool send(ip_endpoint const& receiver, std::string_view bytes);

    int descriptor() const { return m_descriptor; }
    /// @return Datagrams that the kernel did not take.
    uint64_t unsent() const { return m_unsent; }

private:
    explicit datagram_socket(int descriptor);

    int m_descriptor = -1;
    uint64_t m_unsent = 0;
};

} // namespace bilberryyard
