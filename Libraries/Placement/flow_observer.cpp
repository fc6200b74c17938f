#include <Placement/flow_observer.h>

namespace bilberryyard {

namespace {

    // Compares sequence numbers modulo 2^32 (RFC 9293 section 3.4).
    bool isAfter(uint32_t left, uint32_t right) { return static_cast<int32_t>(left - right) > 0; }

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

uint32_t flow_observer::handshakeServer(flow_endpoints const& ends) const
{
    auto const flow = m_flows.find(ends);
    return flow == m_flows.end() ? noToken : flow->second.token;
}

backend_load* flow_observer::loadOf(observed_flow const& flow)
{
    auto* const backend = m_pool.find(flow.token);
    return backend ? &backend->load : nullptr;
}

void flow_observer::leave(observed_flow const& flow)
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

void flow_observer::join(observed_flow const& flow)
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

void flow_observer::enter(observed_flow& flow, phase state)
{
    leave(flow);
    flow.state = state;
    join(flow);
}

flow_observer::observed_flow flow_observer::begin(
    uint32_t token, phase state, uint32_t nextSequence, monotonic_time now)
{
    observed_flow flow;
    flow.token = token;
    flow.state = state;
    flow.openedAt = flow.seenAt = flow.requestAt = flow.sentAt = now;
    flow.sentUntil = nextSequence;
    join(flow);
    return flow;
}

void flow_observer::opened(caller_packet const& packet, uint32_t token, monotonic_time now)
{
    auto known = m_flows.find(packet.ends);
    if (known == m_flows.end()) {
        if (m_flows.size() >= m_settings.maximumObservedFlows)
            return;
        known = m_flows.emplace(packet.ends, observed_flow()).first;
    } else if (known->second.token == token && known->second.state == phase::Opening) {
        known->second.seenAt = now;
        return;
    } else {
        leave(known->second);
    }
    known->second = begin(token, phase::Opening, packet.sequence + 1, now);
}

void flow_observer::repeated(caller_packet const& packet, monotonic_time now)
{
    auto const flow = m_flows.find(packet.ends);
    if (flow == m_flows.end() || flow->second.state != phase::Opening)
        return;
    if (now - flow->second.openedAt < m_settings.shortestRepetition)
        return;
    if (auto* const backend = m_pool.find(flow->second.token))
        m_pool.noteUnanswered(*backend, flow->second.openedAt, now);
}

flow_observer::novelty flow_observer::observed(caller_packet const& packet, monotonic_time now)
{
    auto known = m_flows.find(packet.ends);
    if (known == m_flows.end()) {
        // The flow was opened through another balancer.
        if (m_flows.size() >= m_settings.maximumObservedFlows || packet.purpose != packet_purpose::Continue)
            return novelty::New;
        known = m_flows.emplace(packet.ends, begin(packet.token, phase::Idle, packet.sequence, now)).first;
    }
    auto& flow = known->second;
    flow.seenAt = now;
    if (packet.purpose != packet_purpose::Abort)
        noteProgress(flow, packet, now);
    auto const repeated = packet.purpose == packet_purpose::Continue && noteData(flow, packet, now);
    if (packet.purpose != packet_purpose::Continue) {
        leave(flow);
        m_flows.erase(known);
    }
    return repeated ? novelty::Repeated : novelty::New;
}

void flow_observer::noteProgress(observed_flow& flow, caller_packet const& packet, monotonic_time now)
{
    auto* const backend = m_pool.find(flow.token);
    bool const isHandshake = flow.state == phase::Opening;
    bool const isAnswer = flow.state == phase::Busy && isAfter(packet.acknowledgement, flow.requestAcknowledgement);
    if (!isHandshake && !isAnswer)
        return;
    enter(flow, phase::Idle);
    if (!backend)
        return;
    m_pool.noteAnswer(*backend, now);
    if (isAnswer)
        m_pool.noteResponseTime(*backend, now - flow.requestAt, now);
}

bool flow_observer::noteData(observed_flow& flow, caller_packet const& packet, monotonic_time now)
{
    if (packet.payloadBytes == 0)
        return false;
    auto const end = packet.sequence + packet.payloadBytes;
    if (!isAfter(end, flow.sentUntil)) {
        if (flow.state != phase::Busy || now - flow.sentAt < m_settings.shortestRepetition)
            return false;
        if (auto* const backend = m_pool.find(flow.token))
            m_pool.noteUnanswered(*backend, flow.requestAt, now);
        return true;
    }
    flow.sentUntil = end;
    flow.sentAt = now;
    if (flow.state == phase::Idle) {
        flow.requestAt = now;
        flow.requestAcknowledgement = packet.acknowledgement;
        enter(flow, phase::Busy);
    }
    return false;
}

void flow_observer::closed(flow_endpoints const& ends)
{
    auto const flow = m_flows.find(ends);
    if (flow == m_flows.end())
        return;
    leave(flow->second);
    m_flows.erase(flow);
}

void flow_observer::sweep(monotonic_time now, duration idleTimeout)
{
    std::erase_if(m_flows, [&](auto const& item) {
        auto const& flow = item.second;
        auto limit = idleTimeout;
        if (flow.state == phase::Opening)
            limit = m_settings.handshakeLimit;
        else if (flow.state == phase::Busy)
            limit = m_settings.requestLimit;
        if (now - flow.seenAt <= limit)
            return false;
        leave(flow);
        return true;
    });
}

} // namespace bilberryyard
