#include <Trace/replay_callers.h>

namespace bilberryyard {

namespace {

    using namespace std::chrono_literals;

    // Initial retransmission timeout (RFC 6298 section 2), and a common minimum once the round-trip time is measured.
    constexpr duration synTimeout = 1s;
    constexpr duration segmentTimeout = 300ms;
    // SYNs are sent at 0, 1, 3 and 7 s. Segments are retransmitted for about 19 s, which is longer than a partition or
    // a failure detection takes.
    constexpr uint8_t synAttempts = 4;
    constexpr uint8_t segmentAttempts = 6;
    constexpr uint8_t finAttempts = 4;
    constexpr uint32_t requestBytes = 200;
    constexpr uint32_t firstAddress = 0x0a000000;
    constexpr uint16_t firstPort = 1024;

} // namespace

replay_callers::replay_callers(replay_network& network, std::function<void(uint32_t, parsed_packet const&)> send)
    : m_network(network)
    , m_send(std::move(send))
{
}

void replay_callers::add(flow_burst const& burst, service_endpoint const& destination)
{
    m_bursts.push_back(burst);
    m_destinations.push_back(destination);
    for (uint32_t index = 0; index < burst.count; ++index) {
        auto const flow = static_cast<uint32_t>(m_flows.size());
        m_flows.emplace_back();
        m_flows.back().burst = static_cast<uint32_t>(m_bursts.size() - 1);
        m_network.queue().add(m_network.now() + burst.spacing * index, [this, flow] { open(flow); });
    }
}

std::optional<uint32_t> replay_callers::flowOf(flow_key const& key) const
{
    if (!key.source.isIpv4() || key.sourcePort < firstPort)
        return std::nullopt;
    auto const flow = (key.source.toIpv4() - firstAddress) | static_cast<uint32_t>(key.sourcePort - firstPort) << 16U;
    return flow < m_flows.size() ? std::optional(flow) : std::nullopt;
}

void replay_callers::open(uint32_t flow)
{
    auto& state = m_flows[flow];
    state.startedAt = m_network.now();
    ++m_network.outcome().flows;
    m_network.outcome().kinds[burstOf(flow).kind].offered += burstOf(flow).requestCount;
    sendPacket(flow, tcp_flags::syn, 0, 0);
    if (auto const after = burstOf(flow).duplicateAfter; after > duration::zero())
        m_network.queue().add(m_network.now() + after, [this, flow] { sendPacket(flow, tcp_flags::syn, 0, 0); });
    startTimer(flow, synTimeout);
}

void replay_callers::sendRequest(uint32_t flow)
{
    auto& state = m_flows[flow];
    if (state.phase != flow_phase::Established)
        return;
    state.receivedSegments = 0;
    state.requestExecuted = false;
    state.awaitsResponse = true;
    state.startedAt = m_network.now();
    state.attempts = 0;
    sendPacket(flow, tcp_flags::ack | tcp_flags::psh, state.request, requestBytes);
    if (auto const after = burstOf(flow).duplicateAfter; after > duration::zero() && state.request == 0)
        m_network.queue().add(m_network.now() + after,
            [this, flow] { sendPacket(flow, tcp_flags::ack | tcp_flags::psh, 0, requestBytes); });
    startTimer(flow, segmentTimeout);
}

void replay_callers::sendFin(uint32_t flow)
{
    auto& state = m_flows[flow];
    if (state.phase != flow_phase::Established)
        return;
    state.phase = flow_phase::Closing;
    state.attempts = 0;
    sendPacket(flow, tcp_flags::fin | tcp_flags::ack, state.request, 0);
    startTimer(flow, segmentTimeout);
}

void replay_callers::sendPacket(uint32_t flow, uint8_t flags, uint32_t request, uint32_t payload)
{
    auto const& destination = m_destinations[m_flows[flow].burst];
    parsed_packet packet;
    packet.key = { ip_address::fromIpv4(firstAddress + (flow & 0xffffU)), destination.address,
        static_cast<uint16_t>(firstPort + (flow >> 16U)), destination.port, destination.protocol };
    packet.kind = flags == tcp_flags::syn ? packet_kind::TcpSyn : packet_kind::TcpSegment;
    packet.tcpFlags = flags;
    packet.tcpSequence = request;
    packet.tcpAcknowledgement = flags == tcp_flags::syn ? 0 : request + 1;
    packet.payloadLength = payload;
    m_send(flow, packet);
}

void replay_callers::startTimer(uint32_t flow, duration initialTimeout)
{
    auto const timer = ++m_flows[flow].timer;
    m_network.queue().add(m_network.now() + initialTimeout * (1 << m_flows[flow].attempts), [this, flow, timer] {
        if (m_flows[flow].timer == timer)
            timerExpired(flow);
    });
}

void replay_callers::timerExpired(uint32_t flow)
{
    auto& state = m_flows[flow];
    ++state.attempts;
    switch (state.phase) {
    case flow_phase::Opening:
        if (state.attempts >= synAttempts) {
            ++m_network.outcome().flowsWithoutResponse;
            return closeFlow(flow);
        }
        sendPacket(flow, tcp_flags::syn, 0, 0);
        return startTimer(flow, synTimeout);
    case flow_phase::Established:
        if (state.attempts >= segmentAttempts)
            return breakFlow(flow);
        sendPacket(flow, tcp_flags::ack | tcp_flags::psh, state.request, requestBytes);
        return startTimer(flow, segmentTimeout);
    case flow_phase::Closing:
        if (state.attempts >= finAttempts)
            return closeFlow(flow);
        sendPacket(flow, tcp_flags::fin | tcp_flags::ack, state.request, 0);
        return startTimer(flow, segmentTimeout);
    case flow_phase::Closed:
        return;
    }
}

void replay_callers::receive(uint32_t flow, caller_event event)
{
    auto& state = m_flows[flow];
    auto& outcome = m_network.outcome();
    switch (event) {
    case caller_event::Accepted:
        if (state.phase != flow_phase::Opening)
            return;
        state.phase = flow_phase::Established;
        state.opened = true;
        ++outcome.established;
        return sendRequest(flow);
    case caller_event::Refused:
        ++outcome.refusals;
        state.refused = true;
        if (state.phase == flow_phase::Opening)
            return closeFlow(flow);
        if (state.phase == flow_phase::Established)
            return breakFlow(flow);
        return;
    case caller_event::ResetByServer:
    case caller_event::ResetByBalancer:
        if (state.phase == flow_phase::Established)
            return breakFlow(flow);
        if (state.phase != flow_phase::Opening)
            closeFlow(flow);
        return;
    case caller_event::Finished:
        return closeFlow(flow);
    }
}

void replay_callers::receive(uint32_t flow, response_segment const& segment)
{
    auto& state = m_flows[flow];
    if (state.phase != flow_phase::Established)
        return;
    if (segment.flow != flow || segment.request > state.request
        || segment.segmentIndex >= burstOf(flow).responseSegments) {
        ++m_network.outcome().wrongResponses;
        return;
    }
    if (segment.request < state.request || !state.awaitsResponse)
        return;
    state.receivedSegments |= 1U << segment.segmentIndex;
    sendPacket(flow, tcp_flags::ack, state.request, 0);
    auto const allSegments = static_cast<uint32_t>((uint64_t { 1 } << burstOf(flow).responseSegments) - 1);
    if (state.receivedSegments == allSegments)
        completeResponse(flow);
}

void replay_callers::completeResponse(uint32_t flow)
{
    auto& state = m_flows[flow];
    auto const& burst = burstOf(flow);
    state.awaitsResponse = false;
    ++state.timer;
    ++m_network.outcome().responses;
    auto& kind = m_network.outcome().kinds[burst.kind];
    ++kind.completed;
    kind.totalTime += m_network.now() - state.startedAt;
    bool const isLast = state.request + 1 >= burst.requestCount;
    m_network.queue().add(m_network.now() + burst.requestInterval, [this, flow, isLast] {
        if (isLast)
            return sendFin(flow);
        ++m_flows[flow].request;
        sendRequest(flow);
    });
}

void replay_callers::recordExecution(uint32_t flow, uint32_t request)
{
    ++m_flows[flow].executions;
    if (!m_executed.insert(uint64_t { flow } << 32U | request).second)
        ++m_network.outcome().executedTwice;
}

void replay_callers::breakFlow(uint32_t flow)
{
    auto& outcome = m_network.outcome();
    if (m_flows[flow].serverKilled) {
        ++outcome.lostWithServer;
    } else {
        ++outcome.brokenFlows;
        outcome.incompleteResponses += m_flows[flow].awaitsResponse ? 1 : 0;
    }
    closeFlow(flow);
}

void replay_callers::closeFlow(uint32_t flow)
{
    m_flows[flow].phase = flow_phase::Closed;
    m_flows[flow].awaitsResponse = false;
    ++m_flows[flow].timer;
}

void replay_callers::finish()
{
    for (auto const& state : m_flows) {
        if (state.refused && state.executions > 0)
            ++m_network.outcome().untrueRefusals;
        // A response to a request of the last second of the trace may still be in flight.
        if (state.awaitsResponse && !state.serverKilled && m_network.now() - state.startedAt > std::chrono::seconds(1))
            ++m_network.outcome().incompleteResponses;
    }
}

} // namespace bilberryyard
