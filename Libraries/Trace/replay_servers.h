#pragma once

#include <Membership/server_announcement.h>
#include <Packet/ip_endpoint.h>
#include <Trace/replay_callers.h>
#include <unordered_map>

namespace bilberryyard {

/// Backend servers at their interface: a server accepts a SYN, answers segments of connections that it knows and
/// resets others, and executes a request once when its payload arrives. It checks no sequence numbers, so that a
/// duplicate at a second server is executed there and counted.
class replay_servers {
public:
    /// @param network Shared state.
    /// @param callers Receive the answers.
    /// @param announce Hands an announcement to an entry host; returns whether one took it.
    replay_servers(
        replay_network& network, replay_callers& callers, std::function<bool(server_announcement const&)> announce);

    /// Carries out an event.
    /// @return NotFound for an unknown server.
    absl::Status apply(server_event const& event);

    /// Handles a packet from an entry host.
    /// @param sender Zone of the host.
    /// @param endpoint Where the packet goes.
    /// @param packet The packet.
    void receive(zone_id sender, ip_endpoint const& endpoint, parsed_packet const& packet);

    /// Samples the imbalance of the open flows over the serving servers of each service.
    /// @param names Names of the services.
    void sample(std::map<service_id, std::string> const& names);

    /// Counts stops that did not finish.
    void finish();

private:
    struct connection {
        /// Requests that were executed.
        std::set<uint32_t> executed;
    };

    struct server_record_state {
        uint32_t number = 0;
        server_event settings;
        server_state state = server_state::Serving;
        uint64_t incarnation = 0;
        bool isRunning = false;
        monotonic_time drainedAt;
        std::vector<monotonic_time> slotFreeAt;
        std::unordered_map<uint32_t, connection> connections;
    };

    ip_endpoint endpointOf(uint32_t server) const;
    void announce(server_record_state& server);
    void announceEachSecond(uint32_t number, uint64_t incarnation);
    void deliver(uint32_t number, uint64_t incarnation, uint32_t flow, parsed_packet const& packet);
    void accept(server_record_state& server, uint32_t flow);
    void execute(server_record_state& server, uint32_t flow, uint32_t request);
    void answer(uint32_t flow, uint32_t request, duration after);
    void tell(uint32_t flow, caller_event event);
    void stopWhenEmpty(server_record_state& server);

    replay_network& m_network;
    replay_callers& m_callers;
    std::function<bool(server_announcement const&)> m_announce;
    std::map<uint32_t, server_record_state> m_servers;
    std::map<ip_endpoint, uint32_t> m_endpoints;
};

} // namespace bilberryyard
