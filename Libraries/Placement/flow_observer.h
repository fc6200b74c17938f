#pragma once

#include <Placement/backend_pool.h>
#include <Placement/caller_packet.h>
#include <optional>
#include <unordered_map>

namespace bilberryyard {

/// What a balancer has observed of a flow.
struct flow_observation {
    /// Server that the balancer has forwarded the flow's packets to; noToken for an untracked flow.
    uint32_t token = noToken;
    /// Since the first packet of the flow.
    duration age {};
    /// Since the first transmission of the caller's latest data.
    duration sinceData {};
    auto operator<=>(flow_observation const&) const = default;
};

/// Tracks flows through the packets of their callers, to estimate the load and the response times of servers. Packets
/// with a token are forwarded without this state; it only determines the server of repeated handshake packets and of
/// packets without a token.
class flow_observer {
public:
    /// @param pool Receives the observations; must outlive this object.
    flow_observer(placement_settings const& settings, backend_pool& pool);

    /// @return Token of the server that the flow's packets are forwarded to, or noToken for an untracked flow.
    uint32_t serverTokenOf(flow_endpoints const& flowEndpoints) const;

    /// @return Whether the packet is a handshake packet of a flow that its caller has already acknowledged as
    ///     established, so that it was delayed, and not the first packet of another flow with the same endpoints.
    bool isOutdatedHandshake(caller_packet const& packet) const;

    /// @return What is known of the flow; an empty value for an untracked one.
    flow_observation observationOf(flow_endpoints const& flowEndpoints, monotonic_time now) const;

    /// Records a handshake packet that is about to be forwarded.
    /// @param token The server it is forwarded to.
    /// @param kind Of the flow's requests.
    void recordHandshake(caller_packet const& packet, uint32_t token, request_kind kind, monotonic_time now);

    /// Records that a handshake packet of a flow without a server has been refused.
    void recordRefusal(caller_packet const& packet, monotonic_time now);

    /// @return Whether an earlier handshake packet of the flow has been refused.
    bool isRefused(flow_endpoints const& flowEndpoints) const;

    /// Records a retransmitted handshake packet. Called before its server is chosen.
    void recordRepeatedHandshake(caller_packet const& packet, monotonic_time now);

    /// Records any other packet of a flow. If the tracked flow of these endpoints has another server, the packet's flow
    /// replaces it, unless the packet ends it.
    /// @param packet Its token identifies the server.
    packet_novelty recordPacket(caller_packet const& packet, monotonic_time now);

    /// Removes a flow that the balancer has reset, or that has no server.
    void removeFlow(flow_endpoints const& flowEndpoints);

    /// Removes flows without recent packets.
    /// @param idleTimeout Applies to idle flows; handshakes and requests have timeouts of their own.
    void sweep(monotonic_time now, duration idleTimeout);

    size_t size() const { return m_flows.size(); }

private:
    enum class phase : uint8_t {
        /// The flow has no server.
        Refused,
        Opening,
        Idle,
        /// A request has been sent and no byte of its response has been acknowledged.
        Busy,
    };
    struct observed_flow {
        uint32_t token = noToken;
        phase state = phase::Opening;
        monotonic_time openedAt;
        monotonic_time lastPacketAt;
        /// Packets of the request, without repeated ones.
        uint32_t requestPackets = 0;
        /// Sequence number of the latest repeated packet since sentAt.
        std::optional<uint32_t> repeatedSequence;
        /// Acknowledgement number of the packet that began the request.
        uint32_t requestAcknowledgement = 0;
        /// Highest acknowledgement number of the caller.
        uint32_t acknowledged = 0;
        /// What is still to be recorded of the latest request.
        enum class request_record : uint8_t {
            None,
            /// Its response does not look whole yet, so it has not been counted.
            Uncounted,
            /// Counted as conspicuous, since there was no response for long. It may still come.
            Silent,
            Counted,
        };
        request_record record = request_record::None;
        /// From the request to the first acknowledged byte of its response.
        duration responseTime {};
        /// Sequence number of the first byte of the request.
        uint32_t requestSequence = 0;
        /// Whether a byte of the response has been acknowledged.
        bool hasResponse = false;
        bool hasRepeatedHandshake = false;
        /// Of the flow's requests; unknown when the handshake passed through another balancer.
        std::optional<request_kind> kind;
        /// Sequence number after the last byte that the caller has sent.
        uint32_t sentEnd = 0;
        /// When the packet that ends at sentEnd was first received.
        monotonic_time sentAt;
        /// When data was last received, for the first time or again.
        monotonic_time transmittedAt;
        flow_requests requests;
    };

    /// Records what a flow that ends has caused.
    void recordEnd(observed_flow const& flow);
    void recordProgress(observed_flow& flow, caller_packet const& packet, monotonic_time now);
    /// Counts the flow's request as soon as its response looks whole.
    void countWholeResponse(observed_flow& flow, ip_endpoint const& route, monotonic_time now);
    /// Counts the flow's request if it has been without a response for too long.
    void countSilence(observed_flow& flow, ip_endpoint const& route, monotonic_time now);
    /// Counts the flow's request, which gets no more bytes of a response.
    void finishRequest(observed_flow& flow, ip_endpoint const& route, monotonic_time now);
    /// @return Whether the caller has sent the data before and still waits for a response.
    bool recordData(observed_flow& flow, caller_packet const& packet, monotonic_time now);
    /// @return A new flow, already added to the load of its server.
    observed_flow createFlow(uint32_t token, phase state, uint32_t nextSequence, monotonic_time now);
    /// Records the size of a request with its response, when the next request begins or the flow ends.
    void recordRequestBytes(observed_flow& flow, caller_packet const& packet);
    /// Changes the state of a flow and the load of its server accordingly.
    void changeState(observed_flow& flow, phase state);
    void addToLoad(observed_flow const& flow);
    void removeFromLoad(observed_flow const& flow);
    backend_load* loadOf(observed_flow const& flow);

    placement_settings m_settings;
    backend_pool& m_pool;
    std::unordered_map<flow_endpoints, observed_flow> m_flows;
};

} // namespace bilberryyard
