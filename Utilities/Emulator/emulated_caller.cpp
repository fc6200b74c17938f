#include "emulated_caller.h"

namespace bilberryyard {

namespace {

    // Longer than two retransmission timeouts of a lost update.
    constexpr std::chrono::milliseconds silenceTolerance { 1'500 };

} // namespace

emulated_caller::emulated_caller(flow_key const& key, std::string const* service, emulated_request const& request,
    uint32_t initialSequence, monotonic_time now, std::vector<tcp_segment>& output)
    : m_key(key)
    , m_service(service)
    , m_request(request)
    , m_connection(tcp_connection::connect(initialSequence, now, output))
    , m_started(now)
    , m_answered(now)
{
    m_connection.write(request.encode(), now, output);
}

void emulated_caller::receive(tcp_segment const& segment, monotonic_time now, std::vector<tcp_segment>& output)
{
    m_connection.receive(segment, now, output);
    readAnswer(now, output);
    noteConnectionState();
}

void emulated_caller::poll(monotonic_time now, std::vector<tcp_segment>& output)
{
    m_connection.poll(now, output);
    noteConnectionState();
}

void emulated_caller::finishFeed(monotonic_time now, std::vector<tcp_segment>& output)
{
    if (m_outcome != caller_outcome::Pending)
        return;
    // A server that died sends nothing at all, so silence at the end means that the feed is broken.
    bool const isAlive = m_headerRead && now - m_answered <= 2 * m_request.interval + silenceTolerance;
    conclude(
        isAlive ? caller_outcome::Answered : (m_established ? caller_outcome::Broken : caller_outcome::NotEstablished));
    m_connection.abort(output);
}

void emulated_caller::readAnswer(monotonic_time now, std::vector<tcp_segment>& output)
{
    auto& buffer = m_connection.received();
    if (!m_headerRead) {
        auto const header = answer_header::take(buffer);
        if (!header)
            return;
        m_headerRead = true;
        m_server = header->server;
        if (header->service != *m_service)
            return conclude(caller_outcome::WrongService);
        if (header->id != m_request.id)
            return conclude(caller_outcome::WrongAnswer);
    }
    if (m_request.kind == request_kind::Feed)
        return readUpdates(now);
    if (m_outcome != caller_outcome::Pending || buffer.size() < m_request.size)
        return;
    conclude(
        buffer == answerPayload(m_request.id, m_request.size) ? caller_outcome::Answered : caller_outcome::WrongAnswer);
    m_answered = now;
    buffer.clear();
    m_connection.close(now, output);
}

void emulated_caller::readUpdates(monotonic_time now)
{
    auto& buffer = m_connection.received();
    while (buffer.size() >= feedUpdateSize) {
        if (buffer.compare(0, feedUpdateSize, feedUpdate(m_request.id, m_updates)) != 0)
            return conclude(caller_outcome::WrongAnswer);
        ++m_updates;
        m_answered = now;
        buffer.erase(0, feedUpdateSize);
    }
}

void emulated_caller::noteConnectionState()
{
    auto const state = m_connection.state();
    if (state == tcp_state::Established)
        m_established = true;
    if (m_outcome != caller_outcome::Pending)
        return;
    if (state == tcp_state::Reset)
        conclude(m_established ? caller_outcome::Broken : caller_outcome::Refused);
    else if (state == tcp_state::TimedOut)
        conclude(m_established ? caller_outcome::Broken : caller_outcome::NotEstablished);
    else if (state == tcp_state::Closed || (m_connection.peerClosed() && m_request.kind == request_kind::Feed))
        conclude(caller_outcome::Broken);
}

void emulated_caller::conclude(caller_outcome outcome)
{
    if (m_outcome == caller_outcome::Pending)
        m_outcome = outcome;
}

} // namespace bilberryyard
