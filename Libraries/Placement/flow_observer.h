#pragma once

#include <Placement/backend_pool.h>
#include <Placement/caller_packet.h>
#include <unordered_map>

namespace bilberryyard {

/// Follows flows through the packets of their callers, to learn how busy and how fast servers are. Forwarding an open
/// flow does not need it; it only remembers where a handshake went, so that its repetitions go to the same server.
class flow_observer {
public:
    /// @param settings Limits.
    /// @param pool Takes the observations; outlives this object.
    flow_observer(placement_settings const& settings, backend_pool& pool);

    /// @param ends A flow.
    /// @return Token of the server that its handshake went to, or noToken.
    uint32_t handshakeServer(flow_endpoints const& ends) const;

    /// Notes a handshake packet that is about to go to a server.
    /// @param packet The packet.
    /// @param token The server.
    /// @param now The time.
    void opened(caller_packet const& packet, uint32_t token, monotonic_time now);

    /// Notes a repeated handshake packet before its server is chosen.
    void repeated(caller_packet const& packet, monotonic_time now);

    /// Whether a packet brings something new.
    enum class novelty : uint8_t {
        New,
        /// Data that the caller has sent before: there was no answer to it.
        Repeated,
    };

    /// Notes any other packet of a flow.
    /// @param packet The packet; its token names the server.
    /// @param now The time.
    /// @return Whether the caller had to repeat it.
    novelty observed(caller_packet const& packet, monotonic_time now);

    /// Notes that the balancer has reset a flow.
    void closed(flow_endpoints const& ends);

    /// Forgets flows without a packet.
    /// @param now The time.
    /// @param idleTimeout Flows without a packet for longer are forgotten.
    void sweep(monotonic_time now, duration idleTimeout);

    size_t size() const { return m_flows.size(); }

private:
    enum class phase : uint8_t {
        Opening,
        Idle,
        /// A request is on its way or at work.
        Busy,
    };
    struct observed_flow {
        uint32_t token = noToken;
        phase state = phase::Opening;
        monotonic_time openedAt;
        monotonic_time seenAt;
        monotonic_time requestAt;
        /// Acknowledgement of the packet that began the request.
        uint32_t requestAcknowledgement = 0;
        /// End of the latest request's bytes.
        uint32_t sentUntil = 0;
        /// When they were seen first.
        monotonic_time sentAt;
    };

    void noteProgress(observed_flow& flow, caller_packet const& packet, monotonic_time now);
    /// @return Whether the data was sent before and the caller still waits for an answer.
    bool noteData(observed_flow& flow, caller_packet const& packet, monotonic_time now);
    /// @return A flow that counts in its server's load.
    observed_flow begin(uint32_t token, phase state, uint32_t nextSequence, monotonic_time now);
    void enter(observed_flow& flow, phase state);
    void join(observed_flow const& flow);
    void leave(observed_flow const& flow);
    backend_load* loadOf(observed_flow const& flow);

    placement_settings m_settings;
    backend_pool& m_pool;
    std::unordered_map<flow_endpoints, observed_flow> m_flows;
};

} // namespace bilberryyard
