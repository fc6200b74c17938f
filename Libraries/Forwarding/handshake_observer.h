#pragma once

#include <Base/monotonic_time.h>
#include <Membership/health_types.h>
#include <Packet/parsed_packet.h>
#include <cstdint>
#include <map>
#include <vector>

namespace bilberryyard {

/// Counts handshakes of sampled flows by server (docs/design.md section 3.4). The host that forwards the
/// SYN of a flow watches for a later segment of it, which proves that the caller has the server's answer.
/// With packets sprayed over n hosts it sees one with probability 1 - (1 - 1/n)^k for k later packets, so
/// the counts of a healthy server are below its number of handshakes; the judge compares servers.
class handshake_observer {
public:
    /// @param sampleInterval One flow in this many is watched, chosen by hash; a power of two.
    /// @param capacity Flows that are watched at a time; a power of two.
    handshake_observer(uint32_t sampleInterval, size_t capacity);

    /// Notes a packet that was forwarded to a server.
    /// @param packet The packet.
    /// @param flowHash Hash of its flow.
    /// @param server The server.
    void forwarded(parsed_packet const& packet, uint64_t flowHash, server_id server);

    /// @return The counts since the last call, servers without any left out.
    std::vector<handshake_statistics> drain();

private:
    struct watched_flow {
        uint64_t flowHash = 0;
        server_id server = noServer;
    };

    watched_flow& slotOf(uint64_t flowHash);

    uint32_t m_sampleInterval;
    // A collision replaces the older flow: losing a sample does not matter.
    std::vector<watched_flow> m_flows;
    std::map<server_id, handshake_statistics> m_counts;
};

} // namespace bilberryyard
