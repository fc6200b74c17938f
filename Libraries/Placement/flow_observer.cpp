#include <Placement/flow_observer.h>

#include <optional>
#include <utility>

namespace bilberryyard {

namespace {

    // Compares sequence numbers modulo 2^32 (RFC 9293 section 3.4).
    bool isAfter(uint32_t left, uint32_t right) { return static_cast<int32_t>(left - right) > 0; }

    // A handshake packet is delayed for a few seconds at most. In that time, callers send less than this.
    constexpr uint32_t maximumBytesSinceHandshake = 1 << 20;

    void decrease(uint32_t& count)
    {
        if (count > 0)
            --count;
    }

} // namespace

flow_observer::flow_observer(placement_settings const& settings, backend_pool& pool)
    : m_settings(settings)
    , m_pool(pool)
{
}

uint32_t flow_observer::serverTokenOf(flow_endpoints const& flowEndpoints) const
{
    auto const flow = m_flows.find(flowEndpoints);
    return flow == m_flows.end() ? noToken : flow->second.token;
}

bool flow_observer::isOutdatedHandshake(caller_packet const& packet) const
{
    auto const flow = m_flows.find(packet.flowEndpoints);
    if (flow == m_flows.end() || flow->second.state == phase::Opening || flow->second.state == phase::Refused)
        return false;
    // The handshake occupies one sequence number; wraps around for a packet that is newer than the flow's data.
    return flow->second.sentEnd - (packet.sequence + 1) <= maximumBytesSinceHandshake;
}

flow_observation flow_observer::observationOf(flow_endpoints const& flowEndpoints, monotonic_time now) const
{
    auto const flow = m_flows.find(flowEndpoints);
    if (flow == m_flows.end())
        return {};
    return { flow->second.token, now - flow->second.openedAt, now - flow->second.sentAt };
}

backend_load* flow_observer::loadOf(observed_flow const& flow)
{
    auto* const backend = m_pool.find(flow.token);
    return backend ? &backend->load : nullptr;
}

void flow_observer::removeFromLoad(observed_flow const& flow)
{
    auto* const load = loadOf(flow);
    if (!load)
        return;
    if (flow.state == phase::Opening)
        return decrease(load->opening);
    decrease(load->open);
    if (flow.state == phase::Busy)
        decrease(load->busy);
}

void flow_observer::addToLoad(observed_flow const& flow)
{
    auto* const load = loadOf(flow);
    if (!load)
        return;
    if (flow.state == phase::Opening) {
        ++load->opening;
        return;
    }
    ++load->open;
    if (flow.state == phase::Busy)
        ++load->busy;
}

void flow_observer::changeState(observed_flow& flow, phase state)
{
    removeFromLoad(flow);
    flow.state = state;
    addToLoad(flow);
}

flow_observer::observed_flow flow_observer::createFlow(
    uint32_t token, phase state, uint32_t nextSequence, monotonic_time now)
{
    observed_flow flow;
    flow.token = token;
    flow.state = state;
    flow.openedAt = flow.lastPacketAt = flow.sentAt = flow.transmittedAt = now;
    flow.sentEnd = nextSequence;
    addToLoad(flow);
    return flow;
}

void flow_observer::recordHandshake(caller_packet const& packet, uint32_t token, request_kind kind, monotonic_time now)
{
    auto entry = m_flows.find(packet.flowEndpoints);
    if (entry == m_flows.end()) {
        if (m_flows.size() >= m_settings.maximumObservedFlows)
            return;
        entry = m_flows.emplace(packet.flowEndpoints, observed_flow()).first;
    } else if (entry->second.token == token && entry->second.state == phase::Opening) {
        entry->second.lastPacketAt = now;
        entry->second.hasRepeatedHandshake = true;
        return;
    } else {
        finishRequest(entry->second, packet.flowEndpoints.service, now);
        removeFromLoad(entry->second);
    }
    entry->second = createFlow(token, phase::Opening, packet.sequence + 1, now);
    entry->second.kind = kind;
    entry->second.hasRepeatedHandshake = packet.retransmissionCount > 0;
}

void flow_observer::recordRefusal(caller_packet const& packet, monotonic_time now)
{
    if (m_flows.size() < m_settings.maximumObservedFlows || m_flows.contains(packet.flowEndpoints))
        m_flows[packet.flowEndpoints] = createFlow(noToken, phase::Refused, packet.sequence + 1, now);
}

bool flow_observer::isRefused(flow_endpoints const& flowEndpoints) const
{
    auto const flow = m_flows.find(flowEndpoints);
    return flow != m_flows.end() && flow->second.state == phase::Refused;
}

void flow_observer::recordRepeatedHandshake(caller_packet const& packet, monotonic_time now)
{
    auto const flow = m_flows.find(packet.flowEndpoints);
    if (flow == m_flows.end() || flow->second.state != phase::Opening)
        return;
    if (now - flow->second.openedAt < m_settings.minimumRetransmissionDelay)
        return;
    if (auto* const backend = m_pool.find(flow->second.token))
        m_pool.recordRetransmission(*backend, flow->second.openedAt, now);
}

packet_novelty flow_observer::recordPacket(caller_packet const& packet, monotonic_time now)
{
    auto entry = m_flows.find(packet.flowEndpoints);
    if (entry != m_flows.end() && entry->second.state == phase::Refused) {
        m_flows.erase(entry);
        entry = m_flows.end();
    }
    if (entry != m_flows.end() && packet.token != noToken && packet.token != entry->second.token) {
        // The end of an earlier flow, or the rejection of a second handshake response.
        if (packet.purpose != packet_purpose::Continue)
            return packet_novelty::New;
        // A late packet of an earlier flow.
        if (entry->second.state == phase::Opening
            && packet.sequence - entry->second.sentEnd > maximumBytesSinceHandshake)
            return packet_novelty::New;
        // The tracked flow is an earlier one of the same port, or another server has completed its handshake.
        finishRequest(entry->second, packet.flowEndpoints.service, now);
        removeFromLoad(entry->second);
        m_flows.erase(entry);
        entry = m_flows.end();
    }
    if (entry == m_flows.end()) {
        // The handshake passed through another balancer.
        if (m_flows.size() >= m_settings.maximumObservedFlows || packet.purpose != packet_purpose::Continue)
            return packet_novelty::New;
        entry
            = m_flows.emplace(packet.flowEndpoints, createFlow(packet.token, phase::Idle, packet.sequence, now)).first;
        entry->second.acknowledged = packet.acknowledgement;
    }
    auto& flow = entry->second;
    flow.lastPacketAt = now;
    if (packet.purpose != packet_purpose::Abort) {
        recordProgress(flow, packet, now);
        countWholeResponse(flow, packet.flowEndpoints.service, now);
    }
    auto const isRepeated = packet.purpose == packet_purpose::Continue && recordData(flow, packet, now);
    if (packet.purpose != packet_purpose::Continue) {
        recordEnd(flow);
        finishRequest(flow, packet.flowEndpoints.service, now);
        recordRequestBytes(flow, packet);
        removeFromLoad(flow);
        m_flows.erase(entry);
    }
    return isRepeated ? packet_novelty::Repeated : packet_novelty::New;
}

void flow_observer::recordEnd(observed_flow const& flow)
{
    if (auto const* const backend = m_pool.find(flow.token))
        m_pool.warmUp().demandOf(backend->entry.announcement.service).recordEnd(flow.requests);
}

void flow_observer::recordProgress(observed_flow& flow, caller_packet const& packet, monotonic_time now)
{
    auto* const backend = m_pool.find(flow.token);
    bool const isHandshake = flow.state == phase::Opening;
    if (isHandshake || isAfter(packet.acknowledgement, flow.acknowledged))
        flow.acknowledged = packet.acknowledgement;
    bool const isResponse = flow.state == phase::Busy && isAfter(packet.acknowledgement, flow.requestAcknowledgement);
    if (!isHandshake && !isResponse)
        return;
    changeState(flow, phase::Idle);
    if (!backend)
        return;
    m_pool.recordAcknowledgement(*backend, now);
    if (isResponse) {
        flow.hasResponse = true;
        // Measured from the end of the request: the time that the caller takes to send it is not the server's.
        flow.responseTime = now - flow.sentAt;
    } else if (!flow.hasRepeatedHandshake) {
        m_pool.spill().recordHandshakeTime(backend->zoneIndex, now - flow.openedAt);
    }
}

void flow_observer::countWholeResponse(observed_flow& flow, ip_endpoint const& route, monotonic_time now)
{
    using enum observed_flow::request_record;
    if ((flow.record != Uncounted && flow.record != Silent) || flow.state != phase::Idle)
        return;
    auto const bytes = flow.acknowledged - flow.requestAcknowledgement;
    auto look = m_pool.evidence().lookOf(route, bytes);
    if (look == response_look::Conspicuous)
        return;
    if (std::exchange(flow.record, Counted) == Silent)
        look = response_look::Unknown;
    if (auto* const backend = m_pool.find(flow.token))
        m_pool.recordResponse(*backend, { look, flow.responseTime, flow.kind }, now);
}

void flow_observer::countSilence(observed_flow& flow, ip_endpoint const& route, monotonic_time now)
{
    if (flow.state != phase::Busy || flow.record != observed_flow::request_record::Uncounted
        || !m_pool.evidence().isSilent(route, now - flow.sentAt))
        return;
    flow.record = observed_flow::request_record::Silent;
    if (auto* const backend = m_pool.find(flow.token))
        m_pool.recordResponse(*backend, { response_look::Conspicuous }, now);
}

void flow_observer::finishRequest(observed_flow& flow, ip_endpoint const& route, monotonic_time now)
{
    auto const record = std::exchange(flow.record, observed_flow::request_record::None);
    if (record == observed_flow::request_record::None)
        return;
    auto const bytes = flow.acknowledged - flow.requestAcknowledgement;
    bool const isAnswered = flow.state == phase::Idle;
    if (isAnswered)
        m_pool.evidence().recordUsual(route, bytes, flow.responseTime);
    if (record != observed_flow::request_record::Uncounted)
        return;
    if (auto* const backend = m_pool.find(flow.token))
        m_pool.recordResponse(*backend,
            { response_look::Conspicuous, isAnswered ? std::optional(flow.responseTime) : std::nullopt }, now);
}

void flow_observer::recordRequestBytes(observed_flow& flow, caller_packet const& packet)
{
    auto const* const backend = m_pool.find(flow.token);
    if (!std::exchange(flow.hasResponse, false) || !flow.kind || !backend)
        return;
    auto const received = packet.acknowledgement - flow.requestAcknowledgement;
    if (isAfter(packet.acknowledgement, flow.requestAcknowledgement))
        m_pool.spill().recordRequestBytes(
            backend->entry.announcement.service, *flow.kind, received + (flow.sentEnd - flow.requestSequence));
}

bool flow_observer::recordData(observed_flow& flow, caller_packet const& packet, monotonic_time now)
{
    if (packet.payloadBytes == 0)
        return false;
    auto const end = packet.sequence + packet.payloadBytes;
    if (!isAfter(end, flow.sentEnd)) {
        if (flow.state != phase::Busy || now - flow.sentAt < m_settings.minimumRetransmissionDelay)
            return false;
        // A caller repeats all packets of its window at once, in their order; they count as one retransmission.
        auto const previousSequence = std::exchange(flow.repeatedSequence, packet.sequence);
        if (previousSequence && isAfter(packet.sequence, *previousSequence))
            return true;
        auto const previouslyAt = std::exchange(flow.transmittedAt, now);
        if (auto* const backend = m_pool.find(flow.token)) {
            m_pool.recordRetransmission(*backend, flow.sentAt, now);
            m_pool.recordUnansweredData(*backend, previouslyAt);
        }
        return true;
    }
    if (flow.state == phase::Idle) {
        recordRequestBytes(flow, packet);
        flow.requestSequence = flow.sentEnd;
    }
    flow.sentEnd = end;
    flow.sentAt = flow.transmittedAt = now;
    flow.repeatedSequence.reset();
    if (flow.state == phase::Idle) {
        finishRequest(flow, packet.flowEndpoints.service, now);
        flow.requestPackets = 0;
        flow.requestAcknowledgement = flow.acknowledged = packet.acknowledgement;
        flow.record = observed_flow::request_record::Uncounted;
        changeState(flow, phase::Busy);
        flow.requests = flow.requests.withRequest(now);
        if (auto const* const backend = m_pool.find(flow.token))
            m_pool.warmUp().demandOf(backend->entry.announcement.service).recordRequest(flow.requests);
    }
    // The caller sends data beyond its window only when the server has acknowledged earlier data.
    if (++flow.requestPackets > m_settings.callerWindowPackets) {
        if (auto* const backend = m_pool.find(flow.token))
            m_pool.recordAcknowledgement(*backend, now);
    }
    return false;
}

void flow_observer::removeFlow(flow_endpoints const& flowEndpoints)
{
    auto const flow = m_flows.find(flowEndpoints);
    if (flow == m_flows.end())
        return;
    removeFromLoad(flow->second);
    m_flows.erase(flow);
}

void flow_observer::sweep(monotonic_time now, duration idleTimeout)
{
    for (auto entry = m_flows.begin(); entry != m_flows.end();) {
        auto& flow = entry->second;
        auto timeout = idleTimeout;
        if (flow.state == phase::Opening || flow.state == phase::Refused)
            timeout = m_settings.handshakeTimeout;
        else if (flow.state == phase::Busy)
            timeout = m_settings.requestTimeout;
        countSilence(flow, entry->first.service, now);
        if (now - flow.lastPacketAt <= timeout) {
            ++entry;
            continue;
        }
        // Without any usual response, it cannot be judged after all this time.
        flow.record = observed_flow::request_record::None;
        removeFromLoad(flow);
        entry = m_flows.erase(entry);
    }
}

} // namespace bilberryyard
