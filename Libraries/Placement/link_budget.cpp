#include <Placement/link_budget.h>

#include <algorithm>
#include <chrono>

namespace bilberryyard {

namespace {

    // Weight of the size of a new request, and of a new sample of the rate of other packets.
    constexpr double smoothingGain = 0.1;
    constexpr duration samplingInterval = std::chrono::milliseconds(250);

    double seconds(duration value) { return std::chrono::duration<double>(value).count(); }

} // namespace

link_budget::link_budget(link_limits const& limits)
    : m_limits(limits)
{
}

uint64_t link_budget::room() const
{
    auto const rate = std::max(static_cast<double>(m_limits.bytesPerSecond) - m_otherBytesPerSecond, 0.0);
    return static_cast<uint64_t>(rate * seconds(maximumWait()));
}

duration link_budget::maximumWait() const
{
    if (m_targetLatencies.empty())
        return m_limits.retransmissionInterval;
    return std::min(m_limits.retransmissionInterval, m_targetLatencies.begin()->first / m_limits.targetLatencyParts);
}

uint32_t link_budget::usualReservation(ip_endpoint const& service) const
{
    auto const size = m_requestBytes.find(service);
    if (size == m_requestBytes.end())
        return windowBytes();
    return static_cast<uint32_t>(std::clamp<double>(size->second, m_limits.packetBytes, windowBytes()));
}

bool link_budget::admits(flow_endpoints const& flow, monotonic_time now)
{
    if (!isLimited() || m_flows.contains(flow))
        return true;
    sweep(now);
    // A link that is too small for a single window still carries one flow after the other.
    if (m_flows.empty())
        return true;
    auto const total = room();
    if (m_bytesOnTheWay + usualReservation(flow.service) > total)
        return false;
    auto const ofCaller = m_bytesOfCallers.find(flow.caller.address);
    return ofCaller == m_bytesOfCallers.end() || ofCaller->second <= total - m_bytesOnTheWay;
}

void link_budget::reserve(flow_endpoints const& endpoints, bulk_flow& flow, uint32_t bytes)
{
    auto& ofCaller = m_bytesOfCallers[endpoints.caller.address];
    ofCaller = ofCaller + bytes - flow.reservedBytes;
    m_bytesOnTheWay = m_bytesOnTheWay + bytes - flow.reservedBytes;
    flow.reservedBytes = bytes;
    if (ofCaller == 0)
        m_bytesOfCallers.erase(endpoints.caller.address);
}

link_budget::flow_map::iterator link_budget::end(flow_map::iterator flow)
{
    reserve(flow->first, flow->second, 0);
    return m_flows.erase(flow);
}

void link_budget::recordHandshake(flow_endpoints const& flow, monotonic_time now)
{
    if (!isLimited())
        return;
    auto& entry = m_flows[flow];
    entry.lastPacketAt = now;
    entry.isComplete = true;
    if (!entry.firstSequence)
        reserve(flow, entry, usualReservation(flow.service));
}

void link_budget::recordPacket(caller_packet const& packet, monotonic_time now)
{
    if (!isLimited())
        return;
    auto flow = m_flows.find(packet.flowEndpoints);
    if (flow == m_flows.end()) {
        // The flow was opened through another balancer, or waits for its next request.
        if (packet.payloadBytes == 0 || packet.purpose != packet_purpose::Continue)
            return;
        flow = m_flows.emplace(packet.flowEndpoints, bulk_flow()).first;
    }
    auto& state = flow->second;
    state.lastPacketAt = now;
    if (!state.firstSequence && packet.payloadBytes > 0) {
        state.firstSequence = packet.sequence;
        state.acknowledgement = packet.acknowledgement;
    }
    // The caller acknowledges the response, so the request is complete.
    bool const isAnswered
        = state.firstSequence && static_cast<int32_t>(packet.acknowledgement - state.acknowledgement) > 0;
    if (isAnswered && state.isComplete) {
        auto const size = static_cast<double>(state.receivedBytes);
        auto const [mean, isFirst] = m_requestBytes.emplace(packet.flowEndpoints.service, size);
        if (!isFirst)
            mean->second += smoothingGain * (size - mean->second);
    }
    if (isAnswered || packet.purpose != packet_purpose::Continue) {
        end(flow);
        return;
    }
    if (packet.payloadBytes == 0)
        return;
    auto const received = packet.sequence + packet.payloadBytes - *state.firstSequence;
    // Not for a repeated packet.
    if (static_cast<int32_t>(received - state.receivedBytes) > 0)
        state.receivedBytes = received;
    // More than a usual request may be a full window again.
    reserve(packet.flowEndpoints, state,
        std::min(std::max(usualReservation(packet.flowEndpoints.service), state.receivedBytes), windowBytes()));
}

void link_budget::recordTraffic(size_t bytes, duration targetLatency, monotonic_time now)
{
    if (targetLatency > duration::zero())
        m_targetLatencies[targetLatency] = now;
    m_otherBytes += bytes;
    if (now - m_countedSince < samplingInterval)
        return;
    auto const sample = static_cast<double>(m_otherBytes) / seconds(now - m_countedSince);
    m_otherBytesPerSecond += smoothingGain * (sample - m_otherBytesPerSecond);
    m_otherBytes = 0;
    m_countedSince = now;
}

void link_budget::sweep(monotonic_time now)
{
    std::erase_if(m_targetLatencies, [&](auto const& target) { return now - target.second > m_limits.routeTimeout; });
    for (auto flow = m_flows.begin(); flow != m_flows.end();)
        flow = now - flow->second.lastPacketAt > m_limits.flowTimeout ? end(flow) : std::next(flow);
}

} // namespace bilberryyard
