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

uint32_t flow_observer::handshakeServer(flow_ends const& ends) const
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

void flow_observer::enter(observed_flow& flow, phase state)
{
    leave(flow);
    flow.state = state;
    auto* const load = loadOf(flow);
    if (!load)
        return;
    if (state == phase::Opening) {
        ++load->opening;
        return;
    }
    ++load->open;
    if (state == phase::Busy)
        ++load->busy;
}

void flow_observer::opened(caller_packet const& packet, uint32_t token, monotonic_time now)
{
    auto const known = m_flows.find(packet.ends);
    if (known == m_flows.end()) {
        if (m_flows.size() >= m_settings.maximumObservedFlows)
            return;
        observed_flow flow { token, phase::Opening, now, now, now, 0, packet.sequence + 1 };
        if (auto* const load = loadOf(flow))
            ++load->opening;
        m_flows.emplace(packet.ends, flow);
        return;
    }
    auto& flow = known->second;
    flow.seenAt = now;
    if (flow.token == token && flow.state == phase::Opening)
        return;
    leave(flow);
    flow = { token, phase::Opening, now, now, now, 0, packet.sequence + 1 };
    if (auto* const load = loadOf(flow))
        ++load->opening;
}

void flow_observer::repeated(caller_packet const& packet, monotonic_time now)
{
    auto const flow = m_flows.find(packet.ends);
    if (flow == m_flows.end() || flow->second.state != phase::Opening)
        return;
    if (auto* const backend = m_pool.find(flow->second.token))
        m_pool.noteUnanswered(*backend, flow->second.openedAt, now);
}

void flow_observer::observed(caller_packet const& packet, monotonic_time now)
{
    auto known = m_flows.find(packet.ends);
    if (known == m_flows.end()) {
        // The flow was opened through another balancer.
        if (m_flows.size() >= m_settings.maximumObservedFlows || packet.purpose != packet_purpose::Continue)
            return;
        known = m_flows.emplace(packet.ends, observed_flow { packet.token, phase::Idle, now, now, now, 0, packet.sequence })
                    .first;
        if (auto* const load = loadOf(known->second))
            ++load->open;
    }
    auto& flow = known->second;
    flow.seenAt = now;
    auto* const backend = m_pool.find(flow.token);
    if (packet.purpose == packet_purpose::Abort) {
        leave(flow);
        m_flows.erase(known);
        return;
    }
    if (flow.state == phase::Opening) {
        enter(flow, phase::Idle);
        if (backend)
            m_pool.noteAnswer(*backend, now);
    }
    if (flow.state == phase::Busy && isAfter(packet.acknowledgement, flow.requestAcknowledgement)) {
        enter(flow, phase::Idle);
        if (backend) {
            m_pool.noteAnswer(*backend, now);
            m_pool.noteResponseTime(*backend, now - flow.requestAt, now);
        }
    }
    auto const end = packet.sequence + packet.payloadBytes;
    if (packet.payloadBytes > 0 && isAfter(end, flow.sentUntil)) {
        flow.sentUntil = end;
        if (flow.state == phase::Idle) {
            flow.requestAt = now;
            flow.requestAcknowledgement = packet.acknowledgement;
            enter(flow, phase::Busy);
        }
    }
    if (packet.purpose == packet_purpose::Finish) {
        leave(flow);
        m_flows.erase(known);
    }
}

void flow_observer::closed(flow_ends const& ends)
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
