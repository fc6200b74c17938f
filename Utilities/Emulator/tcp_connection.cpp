#include "tcp_connection.h"

#include <Packet/parsed_packet.h>
#include <algorithm>

namespace bilberryyard {

namespace {

    constexpr uint32_t maximumSegmentSize = 1200;
    constexpr uint32_t windowSize = 32 * maximumSegmentSize;
    // Short, because round trips on loopback stay far below it.
    constexpr std::chrono::milliseconds initialRetransmissionTimeout { 400 };
    constexpr std::chrono::milliseconds maximumRetransmissionTimeout { 3'000 };
    // The last retransmission is sent after 0.4 + 0.8 + 1.6 + 7 * 3 = 23.8 s, and the connection times out 3 s later.
    constexpr uint16_t maximumAttempts = 10;

    // Serial number arithmetic, RFC 9293 section 3.4.
    bool isBefore(uint32_t first, uint32_t second) { return static_cast<int32_t>(first - second) < 0; }

} // namespace

tcp_connection tcp_connection::connect(uint32_t initialSequence, monotonic_time now, std::vector<tcp_segment>& output)
{
    tcp_connection connection;
    connection.m_unacknowledged = initialSequence;
    connection.m_next = initialSequence + 1;
    connection.m_bufferStart = connection.m_next;
    output.push_back({ initialSequence, 0, tcp_flags::syn, {} });
    connection.armTimer(now);
    return connection;
}

tcp_connection tcp_connection::accept(
    tcp_segment const& syn, uint32_t initialSequence, monotonic_time now, std::vector<tcp_segment>& output)
{
    tcp_connection connection;
    connection.m_state = tcp_state::SynReceived;
    connection.m_unacknowledged = initialSequence;
    connection.m_next = initialSequence + 1;
    connection.m_bufferStart = connection.m_next;
    connection.m_receiveNext = syn.sequence + 1;
    output.push_back({ initialSequence, connection.m_receiveNext, tcp_flags::syn | tcp_flags::ack, {} });
    connection.armTimer(now);
    return connection;
}

void tcp_connection::receive(tcp_segment const& segment, monotonic_time now, std::vector<tcp_segment>& output)
{
    if (hasEnded())
        return;
    if (segment.flags & tcp_flags::rst) {
        if (handleReset(segment))
            m_state = tcp_state::Reset;
        return;
    }
    if (!handleHandshake(segment, now, output))
        return;
    if (segment.flags & tcp_flags::ack)
        acknowledgeUpTo(segment.acknowledgement, now);
    acceptPayload(segment, output);
    transmitWindow(now, output);
    endIfClosed();
}

bool tcp_connection::handleReset(tcp_segment const& segment)
{
    // RFC 9293 section 3.10.7.3: in SYN-SENT an RST is acceptable only if it acknowledges the SYN.
    if (m_state == tcp_state::SynSent)
        return (segment.flags & tcp_flags::ack) && segment.acknowledgement == m_next;
    // RFC 5961 section 3.2: in the other states its sequence number must be the next expected one.
    return segment.sequence == m_receiveNext;
}

bool tcp_connection::handleHandshake(tcp_segment const& segment, monotonic_time now, std::vector<tcp_segment>& output)
{
    bool const isSyn = segment.flags & tcp_flags::syn;
    if (m_state == tcp_state::SynSent) {
        if (!isSyn || !(segment.flags & tcp_flags::ack) || segment.acknowledgement != m_next)
            return false;
        m_receiveNext = segment.sequence + 1;
        m_peerInitialSequence = segment.sequence;
        m_state = tcp_state::Established;
        acknowledgeUpTo(segment.acknowledgement, now);
        if (m_buffer.empty())
            output.push_back({ m_next, m_receiveNext, tcp_flags::ack, {} });
        transmitWindow(now, output);
        return false;
    }
    if (m_state == tcp_state::SynReceived) {
        if (isSyn) {
            output.push_back({ m_unacknowledged, m_receiveNext, tcp_flags::syn | tcp_flags::ack, {} });
            return false;
        }
        if (!(segment.flags & tcp_flags::ack) || segment.acknowledgement != m_next)
            return false;
        m_state = tcp_state::Established;
        return true;
    }
    if (isSyn) {
        // RFC 5961 section 4: the reply to a SYN or SYN-ACK on an established connection is an ACK.
        output.push_back({ m_next, m_receiveNext, tcp_flags::ack, {} });
        return false;
    }
    return true;
}

void tcp_connection::acknowledgeUpTo(uint32_t acknowledgement, monotonic_time now)
{
    if (!isBefore(m_unacknowledged, acknowledgement) || isBefore(m_next, acknowledgement))
        return;
    m_unacknowledged = acknowledgement;
    if (isBefore(m_bufferStart, acknowledgement)) {
        auto const acknowledged = std::min<size_t>(acknowledgement - m_bufferStart, m_buffer.size());
        m_buffer.erase(0, acknowledged);
        m_bufferStart += static_cast<uint32_t>(acknowledged);
    }
    m_attempts = 0;
    if (allAcknowledged())
        m_deadline = monotonic_time::max();
    else
        armTimer(now);
}

void tcp_connection::acceptPayload(tcp_segment const& segment, std::vector<tcp_segment>& output)
{
    bool const isFin = segment.flags & tcp_flags::fin;
    if (segment.payload.empty() && !isFin)
        return;
    auto const offset = m_receiveNext - segment.sequence;
    bool const inOrder = !isBefore(m_receiveNext, segment.sequence) && offset <= segment.payload.size();
    if (inOrder && !m_peerClosed) {
        m_received.append(segment.payload, offset);
        m_receiveNext = segment.sequence + static_cast<uint32_t>(segment.payload.size());
        if (isFin) {
            m_peerClosed = true;
            ++m_receiveNext;
        }
    }
    output.push_back({ m_next, m_receiveNext, tcp_flags::ack, {} });
}

void tcp_connection::write(std::string_view payload, monotonic_time now, std::vector<tcp_segment>& output)
{
    m_buffer.append(payload);
    transmitWindow(now, output);
}

void tcp_connection::close(monotonic_time now, std::vector<tcp_segment>& output)
{
    m_closing = true;
    transmitWindow(now, output);
    endIfClosed();
}

void tcp_connection::abort(std::vector<tcp_segment>& output)
{
    if (!hasEnded())
        output.push_back({ m_next, m_receiveNext, tcp_flags::rst | tcp_flags::ack, {} });
    m_state = tcp_state::Closed;
    m_deadline = monotonic_time::max();
}

void tcp_connection::transmitWindow(monotonic_time now, std::vector<tcp_segment>& output)
{
    if (m_state != tcp_state::Established || m_finSent)
        return;
    bool sent = false;
    while (true) {
        auto const sentBytes = m_next - m_bufferStart;
        if (sentBytes >= m_buffer.size() || m_next - m_unacknowledged >= windowSize)
            break;
        auto const size = std::min<size_t>(maximumSegmentSize, m_buffer.size() - sentBytes);
        output.push_back({ m_next, m_receiveNext, tcp_flags::ack | tcp_flags::psh, m_buffer.substr(sentBytes, size) });
        m_next += static_cast<uint32_t>(size);
        sent = true;
    }
    if (m_closing && m_next - m_bufferStart == m_buffer.size()) {
        output.push_back({ m_next, m_receiveNext, tcp_flags::ack | tcp_flags::fin, {} });
        ++m_next;
        m_finSent = true;
        sent = true;
    }
    if (sent && m_deadline == monotonic_time::max())
        armTimer(now);
}

void tcp_connection::armTimer(monotonic_time now)
{
    auto timeout = initialRetransmissionTimeout * (1 << std::min<int>(m_attempts, 4));
    m_deadline = now + std::min<std::chrono::milliseconds>(timeout, maximumRetransmissionTimeout);
}

void tcp_connection::poll(monotonic_time now, std::vector<tcp_segment>& output)
{
    if (hasEnded() || now < m_deadline)
        return;
    if (++m_attempts > maximumAttempts) {
        m_state = tcp_state::TimedOut;
        m_deadline = monotonic_time::max();
        return;
    }
    retransmit(now, output);
}

void tcp_connection::retransmit(monotonic_time now, std::vector<tcp_segment>& output)
{
    ++m_retransmissions;
    armTimer(now);
    if (m_state == tcp_state::SynSent) {
        output.push_back({ m_unacknowledged, 0, tcp_flags::syn, {} });
        return;
    }
    if (m_state == tcp_state::SynReceived) {
        output.push_back({ m_unacknowledged, m_receiveNext, tcp_flags::syn | tcp_flags::ack, {} });
        return;
    }
    // Go-back-N: resends everything after the last acknowledged byte.
    m_next = m_unacknowledged;
    m_finSent = false;
    transmitWindow(now, output);
}

void tcp_connection::endIfClosed()
{
    if (m_finSent && m_peerClosed && allAcknowledged()) {
        m_state = tcp_state::Closed;
        m_deadline = monotonic_time::max();
    }
}

} // namespace bilberryyard
