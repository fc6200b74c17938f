#pragma once

#include <Packet/packet_io.h>
#include <absl/status/statusor.h>
#include <chrono>
#include <memory>
#include <span>

namespace bilberryyard {

/// Sizes of a udp_packet_io.
struct udp_packet_io_settings {
    /// Socket buffer sizes to ask for: large, because a burst has to wait while the thread is not scheduled. The
    /// kernel limits them to net.core.rmem_max and net.core.wmem_max; receiveBufferBytes() tells what was granted.
    int receiveBufferBytes = 8 << 20;
    int sendBufferBytes = 8 << 20;
    /// Packets of one recvmmsg or sendmmsg call.
    size_t callBatch = 64;
};

/// Sends and receives packets as the payload of UDP datagrams on one non-blocking socket. Used by one thread at
/// a time.
class udp_packet_io {
public:
    /// Opens and binds a socket.
    /// @param local Address to bind to; with port 0 the kernel chooses one. An IPv4 address gives an IPv4 socket.
    /// @param settings Sizes.
    /// @return The socket; InvalidArgument for a callBatch of 0 or above 1024, Unavailable when the address cannot
    /// be bound, ResourceExhausted when no socket is left.
    static absl::StatusOr<udp_packet_io> create(ip_endpoint const& local, udp_packet_io_settings const& settings = {});

    udp_packet_io(udp_packet_io&&) noexcept;
    udp_packet_io& operator=(udp_packet_io&&) noexcept;
    ~udp_packet_io();

    /// @return The bound address with its port.
    ip_endpoint const& localEndpoint() const;

    /// @return The receive buffer that the kernel granted, in the kernel's accounting, which counts each packet
    /// with its overhead.
    int receiveBufferBytes() const;

    /// @param batch Receives up to its slotCount() packets; its former contents are lost.
    /// @return Number of packets, 0 when none is waiting.
    size_t receive(packet_batch& batch);

    /// Sends packets. When the send buffer is full the rest is dropped, as a router's queue does; a packet that the
    /// kernel refuses is skipped. Both are counted.
    /// @param packets The packets, any number.
    /// @return How many were sent.
    size_t send(std::span<outgoing_packet const> packets);

    /// @param timeout Longest time to wait.
    /// @return Whether a packet is waiting.
    bool waitReadable(std::chrono::milliseconds timeout);

    /// Waits on several sockets.
    /// @param sockets The sockets.
    /// @param timeout Longest time to wait.
    /// @return Whether a packet is waiting on one of them.
    static bool waitAnyReadable(std::span<udp_packet_io* const> sockets, std::chrono::milliseconds timeout);

    packet_io_counters counters() const;

private:
    struct state;
    explicit udp_packet_io(std::unique_ptr<state> opened);
    std::unique_ptr<state> m_state;
};

static_assert(packet_io<udp_packet_io>);

} // namespace bilberryyard
