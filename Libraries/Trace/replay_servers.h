#pragma once

#include <Membership/server_announcement.h>
#include <Packet/ip_endpoint.h>
#include <Trace/replay_callers.h>
#include <unordered_map>

namespace bilberryyard {

/// Simulated backend servers. A server accepts SYNs, responds to segments of its connections, resets segments of other
/// connections, and executes each request once when its payload arrives. Servers do not check sequence numbers, so that
/// a duplicate request that reaches a second server is executed there and counted.
class replay_servers {
public:
    /// @param network State shared by all components of the replay; must outlive this object.
    /// @param callers Receive the responses; must outlive this object.
    /// @param announce Sends an announcement to an entry host; returns whether a host accepted it.
    replay_servers(
        replay_network& network, replay_callers& callers, std::function<bool(server_announcement const&)> announce);

    /// Applies an event.
    /// @return NotFound for a server that was never started.
    absl::Status apply(server_event const& event);

    /// Handles a packet that an entry host forwards.
    /// @param sender Zone of the entry host.
    /// @param endpoint Server that the entry host chose.
    void receive(zone_id sender, ip_endpoint const& endpoint, parsed_packet const& packet);

    /// Samples the imbalance of the open flows over the serving servers of each service.
    /// @param names Service names, under which the samples are stored.
    void sampleImbalance(std::map<service_id, std::string> const& names);

    /// Counts draining servers that have not stopped by the end of the trace.
    void finish();

private:
    struct connection {
        /// Indices of the requests that were executed.
        std::set<uint32_t> executed;
    };

    struct simulated_server {
        uint32_t serverId = 0;
        server_event settings;
        server_state state = server_state::Serving;
        uint64_t incarnation = 0;
        bool isRunning = false;
        monotonic_time drainedAt;
        std::vector<monotonic_time> slotFreeAt;
        std::unordered_map<uint32_t, connection> connections;
    };

    ip_endpoint endpointOf(uint32_t server) const;
    void announce(simulated_server& server);
    void announceEachSecond(uint32_t serverId, uint64_t incarnation);
    void deliver(uint32_t serverId, uint64_t incarnation, uint32_t flow, parsed_packet const& packet);
    void accept(simulated_server& server, uint32_t flow);
    void execute(simulated_server& server, uint32_t flow, uint32_t request);
    /// @param delay Processing and queueing time before the first segment is sent.
    void sendResponse(uint32_t flow, uint32_t request, duration delay);
    void sendEvent(uint32_t flow, caller_event event);
    void stopWhenEmpty(simulated_server& server);

    replay_network& m_network;
    replay_callers& m_callers;
    std::function<bool(server_announcement const&)> m_announce;
    std::map<uint32_t, simulated_server> m_servers;
    std::map<ip_endpoint, uint32_t> m_endpoints;
};

} // namespace bilberryyard
