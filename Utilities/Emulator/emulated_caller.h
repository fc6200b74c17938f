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
    /// The complete response to this caller's request arrived; for a feed, every update up to its end.
    Answered,
    /// The connection was reset before it was established.
    Refused,
    /// The handshake timed out.
    NotEstablished,
    /// The connection was reset or timed out after it was established.
    Broken,
    /// The response belongs to another request, or its payload is wrong.
    WrongAnswer,
    /// The response came from a server of another service.
    WrongService,
};

/// One emulated caller: opens a connection, sends one request and verifies every byte of the response.
class emulated_caller {
public:
    /// Opens the connection.
    /// @param key The flow, from caller to service.
    /// @param service Name of the service that must respond; must outlive the caller.
    /// @param output The segments to send are appended to it.
    emulated_caller(flow_key const& key, std::string const* service, emulated_request const& request,
        uint32_t initialSequence, monotonic_time now, std::vector<tcp_segment>& output);

    void receive(tcp_segment const& segment, monotonic_time now, std::vector<tcp_segment>& output);
    void poll(monotonic_time now, std::vector<tcp_segment>& output);

    /// Ends a feed. Its outcome is Answered if all updates were right and the last one arrived recently.
    void finishFeed(monotonic_time now, std::vector<tcp_segment>& output);

    flow_key const& key() const { return m_key; }
    emulated_request const& request() const { return m_request; }
    std::string const& service() const { return *m_service; }
    /// @return Name of the server that responded; empty before the response header arrived.
    std::string const& server() const { return m_server; }
    caller_outcome outcome() const { return m_outcome; }
    /// @return Whether the connection has ended and needs no further polling.
    bool hasEnded() const { return m_connection.hasEnded(); }
    monotonic_time deadline() const { return m_connection.deadline(); }
    monotonic_time startedAt() const { return m_startedAt; }
    /// @return When the response was complete; for a feed, when the last update arrived.
    monotonic_time completedAt() const { return m_completedAt; }
    uint64_t feedUpdates() const { return m_updates; }
    uint32_t retransmissions() const { return m_connection.retransmissions(); }
    uint32_t peerInitialSequence() const { return m_connection.peerInitialSequence(); }
    bool wasEstablished() const { return m_wasEstablished; }

private:
    void readResponse(monotonic_time now, std::vector<tcp_segment>& output);
    void readUpdates(monotonic_time now);
    void recordConnectionState();
    void setOutcome(caller_outcome outcome);

    flow_key m_key;
    std::string const* m_service;
    emulated_request m_request;
    tcp_connection m_connection;
    std::string m_server;
    uint64_t m_updates = 0;
    monotonic_time m_startedAt;
    monotonic_time m_completedAt;
    caller_outcome m_outcome = caller_outcome::Pending;
    bool m_wasEstablished = false;
    bool m_headerRead = false;
};

} // namespace bilberryyard
