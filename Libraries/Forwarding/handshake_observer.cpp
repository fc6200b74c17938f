#include <Forwarding/handshake_observer.h>

#include <utility>

namespace bilberryyard {

namespace {

    // The low bits of the hash select the bucket, so sampling by them would cover only some of the buckets.
    constexpr unsigned sampleShift = 40;
    constexpr unsigned slotShift = 20;

} // namespace

handshake_observer::handshake_observer(uint32_t sampleInterval, size_t capacity)
    : m_sampleInterval(sampleInterval)
    , m_flows(capacity)
{
}

handshake_observer::sampled_flow& handshake_observer::slotOf(uint64_t flowHash)
{
    return m_flows[flowHash >> slotShift & (m_flows.size() - 1)];
}

void handshake_observer::recordForwarded(parsed_packet const& packet, uint64_t flowHash, server_id server)
{
    if ((flowHash >> sampleShift & (m_sampleInterval - 1)) != 0)
        return;
    auto& slot = slotOf(flowHash);
    if (packet.kind == packet_kind::TcpSyn) {
        auto& counts = m_counts[server];
        bool const isRetransmission = slot.flowHash == flowHash && slot.server == server;
        ++(isRetransmission ? counts.retransmitted : counts.started);
        slot = { flowHash, server };
        return;
    }
    bool const isProgress = packet.kind == packet_kind::TcpSegment && (packet.tcpFlags & tcp_flags::ack)
        && !(packet.tcpFlags & tcp_flags::rst);
    if (!isProgress || slot.flowHash != flowHash || slot.server != server)
        return;
    ++m_counts[server].progressed;
    slot = {};
}

std::vector<handshake_statistics> handshake_observer::drain()
{
    std::vector<handshake_statistics> result;
    for (auto& [server, counts] : std::exchange(m_counts, {})) {
        counts.server = server;
        result.push_back(counts);
    }
    return result;
}

} // namespace bilberryyard
