#pragma once

#include <Base/monotonic_time.h>
#include <Membership/health_types.h>
#include <Packet/parsed_packet.h>
#include <cstdint>
#include <map>
#include <vector>

namespace bilberryyard {

/// Counts the handshakes of sampled flows by server (docs/design.md section 3.4). After the host has forwarded the SYN
/// of a flow, a later segment of the flow shows that the caller has received the server's response. When the packets of
/// a flow are sprayed over n hosts, this host receives at least one of k later packets with probability
/// 1 - (1 - 1/n)^k. So even for a healthy server the count of progressed handshakes is below the count of started ones;
/// the health evaluator compares servers with each other.
class handshake_observer {
public:
    /// @param sampleInterval One flow in this many is sampled, selected by hash; a power of two.
    /// @param capacity Number of slots for sampled flows; a power of two.
    handshake_observer(uint32_t sampleInterval, size_t capacity);

    /// Records a packet that was forwarded to a server.
    /// @param flowHash Hash of the packet's flow, the same on all hosts.
    void recordForwarded(parsed_packet const& packet, uint64_t flowHash, server_id server);

    /// @return The counts since the last call, without servers that have none.
    std::vector<handshake_statistics> drain();

private:
    struct sampled_flow {
        uint64_t flowHash = 0;
        server_id server = noServer;
    };

    sampled_flow& slotOf(uint64_t flowHash);

    uint32_t m_sampleInterval;
    /// Hash table with one flow per slot. A newer flow overwrites an older one in the same slot; the lost sample does
    /// not matter.
    std::vector<sampled_flow> m_flows;
    std::map<server_id, handshake_statistics> m_counts;
};

} // namespace bilberryyard
