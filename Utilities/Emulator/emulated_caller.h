#pragma once

#include "emulated_request.h"
#include "tcp_connection.h"
#include <Base/monotonic_time.h>
#include <Packet/flow_key.h>
#include <string>
#include <vector>

namespace bilberryyard {

enum class caller_outcome : uint8_t {
    Pending,
    /// The whole answer to this caller's own request arrived; for a feed, every update up to its end.
    Answered,
    /// The connection was refused before it was established.
    Refused,
    /// No answer to the handshake.
    NotEstablished,
    /// The connection was reset or timed out after it was established.
    Broken,
    /// The answer belongs to another request, or its bytes are wrong.
    WrongAnswer,
    /// A server of another service answered.
    WrongService,
};

/// One emulated caller: opens a connection, sends one request and checks every byte of the answer.
class emulated_caller {
public:
    /// Opens the connection.
    /// @param key The flow, from caller to service.
    /// @param service Name of the service that must answer.
    /// @param request The request.
    /// @param initialSequence Initial sequence number.
    /// @param now The time.
    /// @param output Receives the segments to send.
    emulated_caller(flow_key const& key, std::string const* service, emulated_request const& request,
        uint32_t initialSequence, monotonic_time now, std::vector<tcp_segment>& output);

    void receive(tcp_segment const& segment, monotonic_time now, std::vector<tcp_segment>& output);
    void poll(monotonic_time now, std::vector<tcp_segment>& output);

    /// Ends a feed; its outcome is Answered when all that arrived was right.
    void finishFeed(monotonic_time now, std::vector<tcp_segment>& output);

    flow_key const& key() const { return m_key; }
    emulated_request const& request() const { return m_request; }
    std::string const& service() const { return *m_service; }
    /// @return Name of the server that answered; empty before the answer began.
    std::string const& server() const { return m_server; }
    caller_outcome outcome() const { return m_outcome; }
    /// @return Whether the connection needs no further polling.
    bool hasEnded() const { return m_connection.hasEnded(); }
    monotonic_time deadline() const { return m_connection.deadline(); }
    monotonic_time started() const { return m_started; }
    /// @return When the answer was complete; for a feed, when the last update arrived.
    monotonic_time answered() const { return m_answered; }
    uint64_t feedUpdates() const { return m_updates; }
    uint32_t retransmissions() const { return m_connection.retransmissions(); }
    uint32_t peerInitialSequence() const { return m_connection.peerInitialSequence(); }
    bool established() const { return m_established; }

private:
    void readAnswer(monotonic_time now, std::vector<tcp_segment>& output);
    void readUpdates(monotonic_time now);
    void noteConnectionState();
    void conclude(caller_outcome outcome);

    flow_key m_key;
    std::string const* m_service;
    emulated_request m_request;
    tcp_connection m_connection;
    std::string m_server;
    uint64_t m_updates = 0;
    monotonic_time m_started;
    monotonic_time m_answered;
    caller_outcome m_outcome = caller_outcome::Pending;
    bool m_established = false;
    bool m_headerRead = false;
};

} // namespace bilberryyard
