#include "emulated_caller.h"

namespace bilberryyard {

namespace {

    // Longer than the first two retransmission timeouts of a lost update (0.4 s and 0.8 s).
    constexpr std::chrono::milliseconds updateDelayTolerance { 1'500 };

} // namespace

emulated_caller::emulated_caller(flow_key const& key, std::string const* service, emulated_request const& request,
    uint32_t initialSequence, monotonic_time now, std::vector<tcp_segment>& output)
    : m_key(key)
    , m_service(service)
    , m_request(request)
    , m_connection(tcp_connection::connect(initialSequence, now, output))
    , m_startedAt(now)
    , m_completedAt(now)
{
    m_connection.write(request.encode(), now, output);
}

void emulated_caller::receive(tcp_segment const& segment, monotonic_time now, std::vector<tcp_segment>& output)
{
    m_connection.receive(segment, now, output);
    readResponse(now, output);
    recordConnectionState();
}

void emulated_caller::poll(monotonic_time now, std::vector<tcp_segment>& output)
{
    m_connection.poll(now, output);
    recordConnectionState();
}

void emulated_caller::finishFeed(monotonic_time now, std::vector<tcp_segment>& output)
{
    if (m_outcome != caller_outcome::Pending)
        return;
    // A server that died sends no RST or FIN, so a feed without recent updates counts as broken.
    bool const isAlive = m_headerRead && now - m_completedAt <= 2 * m_request.interval + updateDelayTolerance;
    setOutcome(isAlive ? caller_outcome::Answered
                       : (m_wasEstablished ? caller_outcome::Broken : caller_outcome::NotEstablished));
    m_connection.abort(output);
}

void emulated_caller::readResponse(monotonic_time now, std::vector<tcp_segment>& output)
{
    auto& buffer = m_connection.received();
    if (!m_headerRead) {
        auto const header = response_header::decode(buffer);
        if (!header)
            return;
        m_headerRead = true;
        m_server = header->server;
        if (header->service != *m_service)
            return setOutcome(caller_outcome::WrongService);
        if (header->id != m_request.id)
            return setOutcome(caller_outcome::WrongAnswer);
    }
    if (m_request.kind == request_kind::Feed)
        return readUpdates(now);
    if (m_outcome != caller_outcome::Pending || buffer.size() < m_request.size)
        return;
    setOutcome(buffer == responsePayload(m_request.id, m_request.size) ? caller_outcome::Answered
                                                                       : caller_outcome::WrongAnswer);
    m_completedAt = now;
    buffer.clear();
    m_connection.close(now, output);
}

void emulated_caller::readUpdates(monotonic_time now)
{
    auto& buffer = m_connection.received();
    while (buffer.size() >= feedUpdateSize) {
        if (buffer.compare(0, feedUpdateSize, feedUpdate(m_request.id, m_updates)) != 0)
            return setOutcome(caller_outcome::WrongAnswer);
        ++m_updates;
        m_completedAt = now;
        buffer.erase(0, feedUpdateSize);
    }
}

void emulated_caller::recordConnectionState()
{
    auto const state = m_connection.state();
    if (state == tcp_state::Established)
        m_wasEstablished = true;
    if (m_outcome != caller_outcome::Pending)
        return;
    if (state == tcp_state::Reset)
        setOutcome(m_wasEstablished ? caller_outcome::Broken : caller_outcome::Refused);
    else if (state == tcp_state::TimedOut)
        setOutcome(m_wasEstablished ? caller_outcome::Broken : caller_outcome::NotEstablished);
    else if (state == tcp_state::Closed || (m_connection.peerClosed() && m_request.kind == request_kind::Feed))
        setOutcome(caller_outcome::Broken);
}

void emulated_caller::setOutcome(caller_outcome outcome)
{
    if (m_outcome == caller_outcome::Pending)
        m_outcome = outcome;
}

} // namespace bilberryyard
