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

/// What a packet_io has done so far.
struct packet_io_counters {
    uint64_t receivedPackets = 0;
    uint64_t receivedBytes = 0;
    /// Packets that were longer than the slots of the batch and have been cut.
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

/// Moves packets between the network and batches without blocking. A raw device can take the place of
/// udp_packet_io.
template <typename Io>
concept packet_io = requires(Io io, Io const constIo, packet_batch& batch, std::span<outgoing_packet const> packets,
    std::chrono::milliseconds time)
{
    // Replaces the contents of the batch by the packets that are waiting; returns their number.
    {
        io.receive(batch)
        } -> std::same_as<size_t>;
    // Sends packets; returns how many were sent. The others are dropped and counted.
    {
        io.send(packets)
        } -> std::same_as<size_t>;
    // Waits until a packet is waiting or the time is over; returns whether one is waiting.
    {
        io.waitReadable(time)
        } -> std::same_as<bool>;
    {
        constIo.counters()
        } -> std::same_as<packet_io_counters>;
};

} // namespace bilberryyard
