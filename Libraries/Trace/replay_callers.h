#pragma once

#include <Packet/parsed_packet.h>
#include <Routing/forwarding_action.h>
#include <Trace/replay_network.h>
#include <functional>
#include <vector>

namespace bilberryyard {

/// Packet that a server or a balancer sends to a caller, other than a response segment.
enum class caller_event : uint8_t {
    Accepted,
    /// RST of a server that has no such connection.
    ResetByServer,
    /// RST of a balancer in reply to a SYN.
    Refused,
    /// RST of a balancer in reply to a segment.
    ResetByBalancer,
    Finished,
};

/// One segment of the response to a request.
struct response_segment {
    uint32_t flow = 0;
    uint32_t request = 0;
    uint32_t segmentIndex = 0;
    auto operator<=>(response_segment const&) const = default;
};

/// Simulated callers: each flow sends a SYN, its requests, acknowledgements of the responses, and a FIN, with the
/// retransmissions of TCP (RFC 6298).
class replay_callers {
public:
    /// @param network State shared by all components of the replay; must outlive this object.
    /// @param send Passes a packet to the fabric; its first argument is the index of the flow.
    replay_callers(replay_network& network, std::function<void(uint32_t, parsed_packet const&)> send);

    /// Schedules the flows of a burst. The first one starts now.
    /// @param destination Endpoint of the burst's service.
    void add(flow_burst const& burst, service_endpoint const& destination);

    /// @return Index of the flow with this key, or nothing when the key belongs to no flow of a burst.
    std::optional<uint32_t> flowOf(flow_key const& key) const;
    flow_burst const& burstOf(uint32_t flow) const { return m_bursts[m_flows[flow].burst]; }

    /// Handles a packet that arrives at the caller.
    void receive(uint32_t flow, caller_event event);
    void receive(uint32_t flow, response_segment const& segment);

    /// Records that a server began to execute a request.
    void recordExecution(uint32_t flow, uint32_t request);
    /// Records that the flow's server was killed.
    void recordServerKill(uint32_t flow) { m_flows[flow].serverKilled = true; }

    /// Counts false refusals and incomplete responses at the end of the trace.
    void finish();

private:
    enum class flow_phase : uint8_t {
        Opening,
        Established,
        Closing,
        Closed,
    };

    struct caller_flow_state {
        uint32_t burst = 0;
        uint16_t timer = 0;
        uint32_t request = 0;
        /// Bit mask of the response segments that arrived.
        uint32_t receivedSegments = 0;
        uint32_t executions = 0;
        uint8_t attempts = 0;
        flow_phase phase = flow_phase::Opening;
        bool opened = false;
        bool refused = false;
        bool serverKilled = false;
        bool requestExecuted = false;
        bool awaitsResponse = false;
        monotonic_time startedAt;
    };

    void open(uint32_t flow);
    void sendRequest(uint32_t flow);
    void sendFin(uint32_t flow);
    void sendPacket(uint32_t flow, uint8_t flags, uint32_t request, uint32_t payload);
    void startTimer(uint32_t flow, duration initialTimeout);
    void timerExpired(uint32_t flow);
    void closeFlow(uint32_t flow);
    void breakFlow(uint32_t flow);
    void completeResponse(uint32_t flow);

    replay_network& m_network;
    std::function<void(uint32_t, parsed_packet const&)> m_send;
    std::vector<flow_burst> m_bursts;
    std::vector<service_endpoint> m_destinations;
    std::vector<caller_flow_state> m_flows;
    std::set<uint64_t> m_executed;
};

} // namespace bilberryyard
