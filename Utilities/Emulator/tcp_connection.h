#pragma once

#include "tcp_segment.h"
#include <Base/monotonic_time.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bilberryyard {

enum class tcp_state : uint8_t {
    SynSent,
    SynReceived,
    Established,
    /// Both sides have closed.
    Closed,
    /// The other side sent an acceptable RST.
    Reset,
    /// Too many retransmissions without an acknowledgement.
    TimedOut,
};

/// One end of an emulated TCP connection (RFC 9293, without options, urgent data and out-of-order
/// queueing): enough to observe what a caller and a backend server observe. Pure: segments and the
/// time in, segments out.
class tcp_connection {
public:
    /// Starts a connection and sends the SYN.
    /// @param initialSequence Initial sequence number.
    /// @param now The time.
    /// @param output Receives the segments to send.
    static tcp_connection connect(uint32_t initialSequence, monotonic_time now, std::vector<tcp_segment>& output);

    /// Answers a SYN.
    /// @param syn The received SYN.
    /// @param initialSequence Initial sequence number of this side.
    /// @param now The time.
    /// @param output Receives the segments to send.
    static tcp_connection accept(
        tcp_segment const& syn, uint32_t initialSequence, monotonic_time now, std::vector<tcp_segment>& output);

    /// Handles a received segment. Received payload is appended to received().
    void receive(tcp_segment const& segment, monotonic_time now, std::vector<tcp_segment>& output);

    /// Queues payload and sends what the window allows.
    void write(std::string_view payload, monotonic_time now, std::vector<tcp_segment>& output);

    /// Sends a FIN after all queued payload.
    void close(monotonic_time now, std::vector<tcp_segment>& output);

    /// Sends an RST and ends the connection.
    void abort(std::vector<tcp_segment>& output);

    /// Retransmits when a timer has run out.
    void poll(monotonic_time now, std::vector<tcp_segment>& output);

    tcp_state state() const { return m_state; }
    bool hasEnded() const { return m_state >= tcp_state::Closed; }
    /// @return Whether the other side has sent its FIN.
    bool peerClosed() const { return m_peerClosed; }
    /// @return Whether all written payload and the FIN were acknowledged.
    bool allAcknowledged() const { return m_unacknowledged == m_next; }
    /// @return When poll() has work; monotonic_time::max() when no timer runs.
    monotonic_time deadline() const { return m_deadline; }
    /// @return Payload received in order that was not taken yet.
    std::string& received() { return m_received; }
    /// @return The other side's initial sequence number; 0 before its SYN arrived.
    uint32_t peerInitialSequence() const { return m_peerInitialSequence; }
    uint32_t retransmissions() const { return m_retransmissions; }

private:
    void transmitWindow(monotonic_time now, std::vector<tcp_segment>& output);
    void acknowledgeUpTo(uint32_t acknowledgement, monotonic_time now);
    void retransmit(monotonic_time now, std::vector<tcp_segment>& output);
    void armTimer(monotonic_time now);
    void endIfClosed();
    bool handleReset(tcp_segment const& segment);
    bool handleHandshake(tcp_segment const& segment, monotonic_time now, std::vector<tcp_segment>& output);
    void acceptPayload(tcp_segment const& segment, std::vector<tcp_segment>& output);

    uint32_t m_unacknowledged = 0;
    uint32_t m_next = 0;
    uint32_t m_receiveNext = 0;
    uint32_t m_peerInitialSequence = 0;
    uint32_t m_bufferStart = 0;
    uint32_t m_retransmissions = 0;
    uint16_t m_attempts = 0;
    tcp_state m_state = tcp_state::SynSent;
    bool m_closing = false;
    bool m_finSent = false;
    bool m_peerClosed = false;
    monotonic_time m_deadline = monotonic_time::max();
    std::string m_buffer;
    std::string m_received;
};

} // namespace bilberryyard
