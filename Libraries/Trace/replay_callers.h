#pragma once

#include <Packet/parsed_packet.h>
#include <Routing/forwarding_action.h>
#include <Trace/replay_network.h>
#include <functional>
#include <vector>

namespace bilberryyard {

/// What a server or a balancer sends to a caller.
enum class caller_event : uint8_t {
    Accepted,
    /// RST of a server that does not know the connection.
    ResetByServer,
    /// RST of a balancer that answers a SYN.
    Refused,
    /// RST of a balancer that answers a segment.
    ResetByBalancer,
    Finished,
};

/// One segment of an answer.
struct answer_segment {
    uint32_t flow = 0;
    uint32_t request = 0;
    uint32_t part = 0;
    auto operator<=>(answer_segment const&) const = default;
};

/// Callers as the balancers see them: each flow sends a SYN, its requests, acknowledgements of the answers, and a
/// FIN, with the retransmissions of TCP (RFC 6298).
class replay_callers {
public:
    /// @param network Shared state.
    /// @param send Hands a packet of a flow to the fabric.
    replay_callers(replay_network& network, std::function<void(uint32_t, parsed_packet const&)> send);

    /// Adds the flows of a burst, the first of which starts now.
    /// @param burst The burst; its service must be in the endpoints.
    /// @param destination Address of the service.
    void add(flow_burst const& burst, service_endpoint const& destination);

    /// @param key Key of a packet.
    /// @return Number of the flow; nothing when it is not one of a burst.
    std::optional<uint32_t> flowOf(flow_key const& key) const;
    flow_burst const& burstOf(uint32_t flow) const { return m_bursts[m_flows[flow].burst]; }

    /// Handles what arrives at the caller.
    void receive(uint32_t flow, caller_event event);
    void receive(uint32_t flow, answer_segment const& segment);

    /// Notes that a server began to execute a request.
    void executed(uint32_t flow, uint32_t request);
    /// Notes that the flow's server was killed.
    void serverKilled(uint32_t flow) { m_flows[flow].serverKilled = true; }

    /// Counts what is incomplete at the end.
    void finish();

private:
    enum class flow_phase : uint8_t {
        Opening,
        Established,
        Closing,
        Closed,
    };

    struct flow_state_record {
        uint32_t burst = 0;
        uint16_t timer = 0;
        uint32_t request = 0;
        uint32_t parts = 0;
        uint32_t executions = 0;
        uint8_t attempts = 0;
        flow_phase phase = flow_phase::Opening;
        bool opened = false;
        bool refused = false;
        bool serverKilled = false;
        bool requestExecuted = false;
        bool waiting = false;
        monotonic_time startedAt;
    };

    void open(uint32_t flow);
    void sendRequest(uint32_t flow);
    void sendFin(uint32_t flow);
    void sendPacket(uint32_t flow, uint8_t flags, uint32_t request, uint32_t payload);
    void startTimer(uint32_t flow, duration first);
    void timerExpired(uint32_t flow);
    void end(uint32_t flow);
    void breakFlow(uint32_t flow);
    void answered(uint32_t flow);

    replay_network& m_network;
    std::function<void(uint32_t, parsed_packet const&)> m_send;
    std::vector<flow_burst> m_bursts;
    std::vector<service_endpoint> m_destinations;
    std::vector<flow_state_record> m_flows;
    std::set<uint64_t> m_executed;
};

} // namespace bilberryyard
