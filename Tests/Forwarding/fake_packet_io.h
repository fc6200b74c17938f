#pragma once

#include <Packet/packet_io.h>
#include <algorithm>
#include <deque>
#include <vector>

namespace bilberryyard {

/// Stores packets in memory instead of using a socket.
class fake_packet_io {
public:
    struct datagram {
        std::vector<uint8_t> bytes;
        ip_endpoint endpoint;
        auto operator<=>(datagram const&) const = default;
    };

    size_t receive(packet_batch& batch)
    {
        batch.clear();
        while (!incoming.empty() && batch.size() < batch.slotCount()) {
            auto const& bytes = incoming.front().bytes;
            auto const length = std::min(bytes.size(), batch.packetCapacity());
            std::copy_n(bytes.begin(), length, batch.receiveBuffer(batch.size()).begin());
            batch.append(length, incoming.front().endpoint);
            incoming.pop_front();
        }
        return batch.size();
    }

    size_t send(std::span<outgoing_packet const> packets)
    {
        for (auto const& packet : packets)
            sent.push_back({ { packet.bytes.begin(), packet.bytes.end() }, packet.destination });
        return packets.size();
    }

    bool waitReadable(std::chrono::milliseconds) { return !incoming.empty(); }
    packet_io_counters counters() const { return {}; }

    std::deque<datagram> incoming;
    std::vector<datagram> sent;
};

static_assert(packet_io<fake_packet_io>);

} // namespace bilberryyard
