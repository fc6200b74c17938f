#pragma once

#include "directory_fetch.h"
#include "directory_subscription.h"
#include "fleet_settings.h"
#include "host_list_rotation.h"
#include "known_hosts.h"
#include "peer_channel.h"

#include <Base/event_logger.h>
#include <Placement/token_router.h>
#include <map>

namespace bilberryyard {

/// A balancer's side of the protocol with control hosts: receives routes, backend servers and the addresses of other
/// control hosts, and decides when the balancer is ready. Not thread-safe.
class balancer_control {
public:
    /// @param settings Settings with the role Balancer.
    /// @param channel Sends messages to control hosts; must outlive this object.
    /// @param router Updated with routes and servers; must outlive this object.
    balancer_control(fleet_settings const& settings, peer_channel& channel, token_router& router, monotonic_time now);

    void receive(ip_endpoint const& sender, fleet_message const& message, monotonic_time now);

    /// Handles due timers.
    void step(monotonic_time now);

    /// Updates isReady() and the router's directory health from the state of the control hosts.
    void updateReadiness(monotonic_time now);

    /// @return When to call step() next.
    monotonic_time nextDeadline(monotonic_time now) const;

    void setSeeds(std::vector<ip_endpoint> const& seeds);

    /// @return Whether routes and servers are known, so that routers may send callers here.
    bool isReady() const { return m_router.version() > 0 && m_hasDirectory; }

    /// @return Number of addresses that several servers announce.
    size_t contestedAddressCount() const { return m_directory.view().directory().contestedAddresses().size(); }

    /// @return Number of control hosts that sent a message within the timeout.
    size_t reachableControlCount(monotonic_time now) const;

private:
    struct control_link {
        monotonic_time lastSeenAt;
        /// When the control host has been up for long enough to have received an announcement of every server.
        monotonic_time completeAt = monotonic_time::max();
        bool isDirectoryRestored = false;
        /// Whether it has sent the servers of all control hosts, not only its own.
        bool hasAllServers = false;
        std::string name;
        bool isUnresponsive = false;
        directory_protocol protocol = directory_protocol::Renewals;
        /// Revision of the evacuated zones that it knows; nullopt until it has named one that counts.
        std::optional<uint64_t> evacuationRevision;
    };

    void handle(ip_endpoint const& sender, hello_response const& message, monotonic_time now);
    void handle(ip_endpoint const& sender, directory_update const& message, monotonic_time now);
    void handle(ip_endpoint const& sender, route_table const& message, monotonic_time now);
    void handle(ip_endpoint const& sender, route_difference const& message, monotonic_time now);
    void handle(ip_endpoint const&, hello_message const&, monotonic_time) { }
    void handle(ip_endpoint const&, control_envelope const&, monotonic_time) { }
    void handle(ip_endpoint const&, join_request const&, monotonic_time) { }
    void handle(ip_endpoint const&, directory_request const&, monotonic_time) { }
    void handle(ip_endpoint const&, age_request const&, monotonic_time) { }
    void handle(ip_endpoint const& sender, directory_page const& message, monotonic_time now);
    void handle(ip_endpoint const& sender, age_response const& message, monotonic_time now);
    void handle(ip_endpoint const& sender, evacuated_zones const& message, monotonic_time now);
    void handle(ip_endpoint const&, warm_up_request const&, monotonic_time) { }
    void handle(ip_endpoint const& sender, warm_up_grants const& message, monotonic_time now);
    void handle(ip_endpoint const&, failure_report const&, monotonic_time) { }
    void handle(ip_endpoint const& sender, failure_sums const& message, monotonic_time now);
    /// Sends what the callers' packets tell about servers to two control hosts, the same for all balancers.
    void reportFailures(monotonic_time now);
    void logTrustChanges();
    void sendHello(monotonic_time now);
    void sendHello(ip_endpoint const& peer, host_list hosts, server_scope servers, route_request routes);
    duration helloPeriod(monotonic_time now) const;
    /// Requests the routes of a control host that has a newer version of them.
    void requestRoutes(ip_endpoint const& peer, monotonic_time now);
    /// Requests the evacuated zones of a control host that has a newer revision of them.
    void requestEvacuations(ip_endpoint const& peer, monotonic_time now);
    void updateEvacuationKnowledge(monotonic_time now);
    void setRoutes(ip_endpoint const& sender, route_table table, monotonic_time now);
    /// Requests all servers from a reachable control host if no directory is known yet.
    void requestServers(ip_endpoint const& peer, monotonic_time now);
    /// Requests the next page of all servers until they have been received once.
    void requestPage(monotonic_time now);
    /// @return The control host to request the next page from, or nullptr if none is reachable.
    ip_endpoint const* choosePageSource(monotonic_time now) const;
    bool isReachable(control_link const& link, monotonic_time now) const;
    /// @return Whether the control host has had time to receive an announcement of every server, or has restored them.
    static bool isUsable(control_link const& link, monotonic_time now);
    /// Whether each changed server is logged. A page is logged as a whole.
    enum class server_lines : uint8_t {
        Omitted,
        Logged,
    };
    void applyChanges(
        ip_endpoint const& sender, directory_view::changes const& changes, server_lines lines, monotonic_time now);
    void applyDisplacements(directory_view::changes const& changes, monotonic_time now);
    void logLateServers(ip_endpoint const& sender, directory_view::changes const& changes, monotonic_time now);
    void sendAgeRequests(monotonic_time now);
    /// Requests grants for servers that are warming up of the control hosts that they announce themselves to.
    void sendWarmUpRequests(monotonic_time now);
    void expireLinks(monotonic_time now);

    fleet_settings m_settings;
    peer_channel& m_channel;
    token_router& m_router;
    event_logger m_logger { "balancer" };
    known_hosts m_hosts;
    host_list_rotation m_hostListRotation;
    std::map<ip_endpoint, control_link> m_links;
    directory_subscription m_directory;
    /// Fetches the servers of all control hosts until they have been received once.
    directory_fetch m_fetch;
    bool m_hasDirectory = false;
    monotonic_time m_expiredAt;
    monotonic_time m_startedAt;
    monotonic_time m_helloSentAt;
    monotonic_time m_serversRequestedAt;
    monotonic_time m_routesRequestedAt;
    monotonic_time m_evacuationsRequestedAt;
    /// Whether this balancer has obtained the evacuated zones once. Until then it accepts no routes.
    bool m_knowsEvacuations = false;
    monotonic_time m_failuresReportedAt;
};

} // namespace bilberryyard
