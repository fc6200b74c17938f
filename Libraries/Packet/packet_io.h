#pragma once

#include <Packet/ip_endpoint.h>
#include <Packet/packet_batch.h>
#include <chrono>
#include <compare>
#include <concepts>
#include <cstdint>
#include <span>

namespace bilberryyard {

/// A packet to be sent. The bytes must stay valid until send() returns.
struct outgoing_packet {
    std::span<uint8_t const> bytes;
    ip_endpoint destination;
};

/// Totals since the packet_io was created.
struct packet_io_counters {
    uint64_t receivedPackets = 0;
    uint64_t receivedBytes = 0;
    /// Packets that were truncated, because they were longer than the slots of the batch.
    uint64_t oversizedPackets = 0;
    /// Packets that the kernel dropped because the receive buffer was full. The kernel reports a drop with the next
    /// packet that it queues, so drops at the end of a burst are counted late.
    uint64_t kernelDrops = 0;
    uint64_t receiveFailures = 0;
    uint64_t sentPackets = 0;
    uint64_t sentBytes = 0;
    /// Packets that were not sent, because the send buffer was full or the kernel refused them.
    uint64_t sendFailures = 0;
    auto operator<=>(packet_io_counters const&) const = default;
};

/// Receives packets into batches and sends packets, both without blocking. Implemented by udp_packet_io; allows an
/// implementation on a raw network device.
template <typename Io>
concept packet_io = requires(Io io, Io const constIo, packet_batch& batch, std::span<outgoing_packet const> packets,
    std::chrono::milliseconds timeout)
{
    // Replaces the contents of the batch by received packets; returns their number.
    {
        io.receive(batch)
        } -> std::same_as<size_t>;
    // Returns the number of packets that were sent. The others are dropped and counted.
    {
        io.send(packets)
        } -> std::same_as<size_t>;
    // Blocks until a packet can be received or the timeout expires; returns whether a packet can be received.
    {
        io.waitReadable(timeout)
        } -> std::same_as<bool>;
    {
        constIo.counters()
        } -> std::same_as<packet_io_counters>;
};

} // namespace bilberryyard
