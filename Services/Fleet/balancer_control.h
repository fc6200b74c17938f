#pragma once

#include "directory_view.h"
#include "fleet_settings.h"
#include "host_list_rotation.h"
#include "known_hosts.h"
#include "peer_channel.h"

#include <Base/event_logger.h>
#include <Placement/token_router.h>
#include <map>

namespace bilberryyard {

/// What a balancer hears from control hosts: routes, backend servers and other control hosts. Decides when the
/// balancer is ready. Used on one thread.
class balancer_control {
public:
    /// @param settings Settings with the role Balancer.
    /// @param channel Sends messages to control hosts; outlives this object.
    /// @param router Takes routes and servers; outlives this object.
    /// @param now The time.
    balancer_control(fleet_settings const& settings, peer_channel& channel, token_router& router, monotonic_time now);

    void receive(ip_endpoint const& sender, fleet_message const& message, monotonic_time now);

    /// Handles due timers.
    /// @param now The time.
    void step(monotonic_time now);

    /// Notes whether enough is known to serve callers.
    void updateReadiness(monotonic_time now);

    /// @return When step() is due next.
    monotonic_time nextDeadline() const;

    void setSeeds(std::vector<ip_endpoint> const& seeds);

    /// @return Whether callers may be sent here: routes and servers are known.
    bool isReady() const { return m_router.version() > 0 && m_hasDirectory; }

    /// @return Control hosts that have been heard lately.
    size_t freshControls(monotonic_time now) const;

private:
    struct control_link {
        monotonic_time lastSeenAt;
        /// When the control host had listened long enough to have heard every server.
        monotonic_time completeAt = monotonic_time::max();
        bool isDirectoryRestored = false;
        /// The servers of other control hosts came along with its own.
        bool hasAllServers = false;
        std::string name;
        bool isSilent = false;
    };

    void handle(ip_endpoint const& sender, hello_response const& message, monotonic_time now);
    void handle(ip_endpoint const& sender, directory_update const& message, monotonic_time now);
    void handle(ip_endpoint const& sender, route_table const& message, monotonic_time now);
    void handle(ip_endpoint const&, hello_message const&, monotonic_time) { }
    void handle(ip_endpoint const&, control_envelope const&, monotonic_time) { }
    void handle(ip_endpoint const&, join_request const&, monotonic_time) { }
    void greet(monotonic_time now);
    void greet(ip_endpoint const& peer, host_list hosts, server_scope servers);
    /// Asks a control host that is there for all servers, if none is known yet.
    void askForServers(ip_endpoint const& peer, monotonic_time now);
    void takeOver(std::string const& id, monotonic_time now);
    void noteSilence(monotonic_time now);

    fleet_settings m_settings;
    peer_channel& m_channel;
    token_router& m_router;
    event_logger m_logger { "balancer" };
    known_hosts m_hosts;
    host_list_rotation m_listTurn;
    std::map<ip_endpoint, control_link> m_links;
    directory_view m_view;
    bool m_hasDirectory = false;
    monotonic_time m_startedAt;
    monotonic_time m_greetedAt;
    monotonic_time m_askedForServersAt;
};

} // namespace bilberryyard
