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
    /// Both ends have closed the connection, or it was aborted locally.
    Closed,
    /// The remote end sent an acceptable RST.
    Reset,
    /// Too many retransmissions without an acknowledgement.
    TimedOut,
};

/// One end of an emulated TCP connection (RFC 9293, without options, urgent data and out-of-order queueing), which
/// shows connection failures as a caller or a backend server sees them. Does no I/O and reads no clock: the caller
/// passes received segments and the time, and sends the output.
class tcp_connection {
public:
    /// Opens a connection by sending a SYN.
    /// @param output The segments to send are appended to it; the same holds for the functions below.
    static tcp_connection connect(uint32_t initialSequence, monotonic_time now, std::vector<tcp_segment>& output);

    /// Accepts a connection by sending a SYN-ACK.
    /// @param syn The received SYN.
    /// @param initialSequence Local initial sequence number.
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

    /// Retransmits if the retransmission timer has expired.
    void poll(monotonic_time now, std::vector<tcp_segment>& output);

    tcp_state state() const { return m_state; }
    bool hasEnded() const { return m_state >= tcp_state::Closed; }
    /// @return Whether the FIN of the remote end was received.
    bool peerClosed() const { return m_peerClosed; }
    /// @return Whether all written payload and the FIN were acknowledged.
    bool allAcknowledged() const { return m_unacknowledged == m_next; }
    /// @return When poll() is due; monotonic_time::max() if no timer runs.
    monotonic_time deadline() const { return m_deadline; }
    /// @return Payload received in order; the caller removes what it has processed.
    std::string& received() { return m_received; }
    /// @return Initial sequence number of the remote end; 0 before its SYN-ACK arrived, and at the accepting end.
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
