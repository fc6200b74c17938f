#pragma once

#include <Packet/packet_io.h>
#include <absl/status/statusor.h>
#include <chrono>
#include <memory>
#include <span>

namespace bilberryyard {

/// Sizes of a udp_packet_io.
struct udp_packet_io_settings {
    /// Requested socket buffer sizes in bytes. They are large, because the buffers must store bursts while the thread
    /// is not scheduled. The kernel limits them to net.core.rmem_max and net.core.wmem_max; see receiveBufferBytes()
    /// for the granted size.
    int receiveBufferBytes = 8 << 20;
    int sendBufferBytes = 8 << 20;
    /// Maximum number of packets of one recvmmsg or sendmmsg call, 1 to 1024.
    size_t messagesPerCall = 64;
};

/// Sends and receives packets as the payload of UDP datagrams on one non-blocking socket. Used by one thread at
/// a time.
class udp_packet_io {
public:
    /// Opens and binds a socket.
    /// @param local Address to bind to; with port 0 the kernel chooses a port. Its family is that of the socket.
    /// @return The socket; InvalidArgument for a messagesPerCall of 0 or above 1024, Unavailable when the address
    ///     cannot be bound, ResourceExhausted when no socket can be opened.
    static absl::StatusOr<udp_packet_io> create(ip_endpoint const& local, udp_packet_io_settings const& settings = {});

    udp_packet_io(udp_packet_io&&) noexcept;
    udp_packet_io& operator=(udp_packet_io&&) noexcept;
    ~udp_packet_io();

    /// @return The bound address with its port.
    ip_endpoint const& localEndpoint() const;

    /// @return The receive buffer size that the kernel granted. The kernel's accounting includes the overhead of each
    ///     packet.
    int receiveBufferBytes() const;

    /// @param batch Its contents are replaced by up to slotCount() received packets.
    /// @return Number of received packets; 0 when the socket's queue is empty.
    size_t receive(packet_batch& batch);

    /// Sends packets. When the send buffer is full, the remaining packets are dropped, as by a router with a full
    /// queue. A packet that the kernel refuses is skipped. Both are counted as send failures.
    /// @return Number of packets that were sent.
    size_t send(std::span<outgoing_packet const> packets);

    /// Blocks until a packet can be received or the timeout expires.
    /// @return Whether a packet can be received.
    bool waitReadable(std::chrono::milliseconds timeout);

    /// Blocks until a packet can be received on one of several sockets or the timeout expires.
    /// @return Whether a packet can be received on any of them.
    static bool waitAnyReadable(std::span<udp_packet_io* const> sockets, std::chrono::milliseconds timeout);

    packet_io_counters counters() const;

private:
    struct state;
    explicit udp_packet_io(std::unique_ptr<state> opened);
    std::unique_ptr<state> m_state;
};

static_assert(packet_io<udp_packet_io>);

} // namespace bilberryyard
