#pragma once

#include <Packet/ip_endpoint.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <span>
#include <string_view>

namespace bilberryyard {

/// A non-blocking UDP socket over IPv4.
class datagram_socket {
public:
    /// @param address Address and port to bind.
    /// @param receiveBufferBytes Size of the kernel's receive buffer; 0 keeps the system's default.
    /// @return The socket; Unavailable when it cannot be created, configured or bound.
    static absl::StatusOr<datagram_socket> create(ip_endpoint const& address, int receiveBufferBytes = 0);

    datagram_socket(datagram_socket&& other) noexcept;
    datagram_socket& operator=(datagram_socket&& other) noexcept;
    datagram_socket(datagram_socket const&) = delete;
    datagram_socket& operator=(datagram_socket const&) = delete;
    ~datagram_socket();

    struct received {
        ip_endpoint sender;
        size_t size = 0;
    };

    /// @param buffer Receives the bytes of the datagram. The rest of a larger datagram is lost.
    /// @param[out] datagram Its sender and size.
    /// @return Whether a datagram was received.
    bool receive(std::span<uint8_t> buffer, received& datagram);

    /// @return Whether the kernel accepted the datagram.
    bool send(ip_endpoint const& receiver, std::string_view bytes);

    int descriptor() const { return m_descriptor; }
    /// @return Number of datagrams that the kernel did not accept.
    uint64_t unsent() const { return m_unsent; }

private:
    explicit datagram_socket(int descriptor);

    int m_descriptor = -1;
    uint64_t m_unsent = 0;
};

} // namespace bilberryyard
