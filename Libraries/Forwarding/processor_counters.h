#pragma once

#include <Packet/parsed_packet.h>
#include <array>
#include <atomic>
#include <cstdint>

namespace bilberryyard {

/// Counts of packets that a packet_processor has handled. Written by its thread, read by any.
struct processor_counters {
    std::atomic<uint64_t> fromFabric { 0 };
    std::atomic<uint64_t> fromPeers { 0 };
    std::atomic<uint64_t> toServers { 0 };
    std::atomic<uint64_t> toPeers { 0 };
    std::atomic<uint64_t> rejected { 0 };
    /// Rejections that were not sent because of the rate limit, or because none can be built for the packet.
    std::atomic<uint64_t> rejectionsSuppressed { 0 };
    std::array<std::atomic<uint64_t>, dropReasonCount> dropped {};
};

} // namespace bilberryyard
