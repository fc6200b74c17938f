#pragma once

#include <Placement/backend_pool.h>
#include <Placement/caller_packet.h>
#include <Placement/flow_observer.h>
#include <Placement/link_budget.h>
#include <Placement/route_table.h>
#include <map>
#include <memory>
#include <string>
#include <variant>

namespace bilberryyard {

/// Why a balancer resets a flow. The flow has not been forwarded, or its server is no longer running or responding.
enum class reset_reason : uint8_t {
    NoRoute,
    NoServer,
    /// The service is overloaded, and overload control does not admit the flow.
    Overloaded,
    /// All servers that would accept the flow are warming up, and none has budget left.
    ServersWarmingUp,
    /// The balancer's link has no room for the large request of the flow.
    LinkFull,
    /// The server has left, or lost its address to another one, and does not respond to a repeated packet.
    ServerGone,
    /// The server does not respond to any caller, and the request may be repeated at another server.
    ServerUnresponsive,
};

enum class discard_reason : uint8_t {
    /// The token identifies no server that this balancer knows; it may not have received the server's announcement yet.
    UnknownToken,
    /// The packet has no token and belongs to no handshake that this balancer has seen.
    NoToken,
    /// There is no configuration yet.
    NoConfiguration,
    /// No server of the service is known, but the directory is not complete yet.
    NoDirectory,
    /// A repeated handshake packet for a server that is warming up and has no budget left. The server may have received
    /// an earlier one, so the flow is neither moved nor reset.
    ServerWarmingUp,
};

/// @return A stable name for logs and metrics.
char const* nameOf(reset_reason reason);
char const* nameOf(discard_reason reason);

struct forward_packet {
    uint32_t token = noToken;
    /// Identifies the server in the forwarded datagram.
    uint64_t tag = 0;
    ip_endpoint address;
    /// Repeated for data that the caller has sent before.
    packet_novelty novelty = packet_novelty::New;
    auto operator<=>(forward_packet const&) const = default;
};

struct reset_flow {
    reset_reason reason = reset_reason::NoRoute;
    /// For Overloaded: lower quartile of the service's response times.
    duration lowerQuartileResponseTime {};
    /// What this balancer had observed of the flow before the reset.
    flow_observation observation {};
    auto operator<=>(reset_flow const&) const = default;
};

struct discard_packet {
    discard_reason reason = discard_reason::UnknownToken;
    auto operator<=>(discard_packet const&) const = default;
};

using packet_decision = std::variant<forward_packet, reset_flow, discard_packet>;

/// Decides where the packets of callers are sent when servers and callers echo a token that the balancer chose. Packets
/// of established flows are forwarded by the token alone, so these flows survive any change of the path to the
/// balancers.
class token_router {
public:
    /// @param zone The balancer's availability zone.
    /// @param seed Seed of all random choices.
    token_router(placement_settings const& settings, std::string const& zone, uint64_t seed);

    /// Replaces the routes unless the table's version is not newer than the current one.
    /// @return Whether the routes were replaced.
    bool setRoutes(std::shared_ptr<route_table const> table);

    packet_decision decide(caller_packet const& packet, monotonic_time now);

    /// Removes flows that have timed out. Called about once a second.
    void sweep(monotonic_time now);

    backend_pool& pool() { return m_pool; }
    /// @return The version of the current routes; 0 before the first.
    uint64_t version() const { return m_routes ? m_routes->version : 0; }
    route_table const* routes() const { return m_routes.get(); }
    link_budget const& link() const { return m_link; }
    size_t observedFlows() const { return m_observer.size(); }

private:
    /// @return A reset, after which the flow is no longer tracked.
    reset_flow reset(caller_packet const& packet, reset_reason reason, monotonic_time now);
    packet_decision open(caller_packet const& packet, monotonic_time now);
    /// @return The route of a flow; nullptr if there is none.
    service_route const* routeOf(flow_endpoints const& flowEndpoints) const;
    /// Tells the link budget about a packet. Handshakes of uploads are recorded when they are admitted.
    void recordOnLink(caller_packet const& packet, monotonic_time now);
    /// @return Whether the caller may repeat the request of the packet's flow at another server.
    bool mayRepeatRequest(caller_packet const& packet) const;
    std::string const& chooseService(service_route const& route);
    route_importance importanceOf(std::string const& service, service_route const& route) const;
    bool isAdmitted(
        caller_packet const& packet, std::string const& service, service_route const& route, monotonic_time now) const;

    backend_pool m_pool;
    flow_observer m_observer;
    link_budget m_link;
    /// Whether any route is for uploads; without one, the use of the link decides nothing.
    bool m_hasUploads = false;
    std::shared_ptr<route_table const> m_routes;
    /// By service, the priority of the least important route to it.
    std::map<std::string, uint32_t> m_lowestPriorities;
    uint64_t m_seed;
    uint64_t m_drawCount = 0;
};

} // namespace bilberryyard
