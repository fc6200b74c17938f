#pragma once

#include <Placement/backend_pool.h>
#include <Placement/caller_packet.h>
#include <Placement/flow_observer.h>
#include <Placement/route_table.h>
#include <map>
#include <memory>
#include <string>
#include <variant>

namespace bilberryyard {

/// Why a balancer resets a flow. A reset flow has not been forwarded, or its server has ended.
enum class reset_reason : uint8_t {
    NoRoute,
    NoServer,
    /// The service has more to do than its servers can, and the flow is not among those that it takes.
    Overloaded,
    ServerGone,
    /// The server answers nobody, and the caller may repeat its request elsewhere.
    ServerSilent,
};

enum class discard_reason : uint8_t {
    /// The packet's token names no server that this balancer knows, perhaps not yet.
    UnknownToken,
    /// No token, and no handshake that this balancer has seen.
    NoToken,
    /// There is no configuration yet.
    NoConfiguration,
};

/// @return A stable name for logs and metrics.
char const* nameOf(reset_reason reason);
char const* nameOf(discard_reason reason);

struct forward_packet {
    uint32_t token = noToken;
    /// Names the server in the datagram.
    uint64_t tag = 0;
    ip_endpoint address;
    auto operator<=>(forward_packet const&) const = default;
};

struct reset_flow {
    reset_reason reason = reset_reason::NoRoute;
    /// For Overloaded: what the quick quarter of the service's answers takes.
    duration quickResponse {};
    auto operator<=>(reset_flow const&) const = default;
};

struct discard_packet {
    discard_reason reason = discard_reason::UnknownToken;
    auto operator<=>(discard_packet const&) const = default;
};

using packet_decision = std::variant<forward_packet, reset_flow, discard_packet>;

/// Decides where packets of callers go when servers and callers repeat a token of the balancer's choice. Packets of
/// open flows need nothing but the token, so that they survive every change of the path to the balancers.
class token_router {
public:
    /// @param settings Weights and limits.
    /// @param zone The balancer's availability zone.
    /// @param seed Seed of random choices.
    token_router(placement_settings const& settings, std::string const& zone, uint64_t seed);

    /// Takes a version of the routes; an older one than the held one is ignored.
    /// @param table The routes.
    /// @return Whether they are in force now.
    bool setRoutes(std::shared_ptr<route_table const> table);

    /// @param packet A packet of a caller.
    /// @param now The time.
    /// @return What to do with it.
    packet_decision decide(caller_packet const& packet, monotonic_time now);

    /// Forgets what is over. Called about once a second.
    void sweep(monotonic_time now);

    backend_pool& pool() { return m_pool; }
    /// @return The version of the routes in force; 0 before the first.
    uint64_t version() const { return m_routes ? m_routes->version : 0; }
    route_table const* routes() const { return m_routes.get(); }
    size_t observedFlows() const { return m_observer.size(); }

private:
    packet_decision open(caller_packet const& packet, monotonic_time now);
    bool isIdempotent(caller_packet const& packet) const;
    std::string const& chooseService(service_route const& route);
    bool isAdmitted(
        caller_packet const& packet, std::string const& service, service_route const& route, monotonic_time now) const;

    backend_pool m_pool;
    flow_observer m_observer;
    std::shared_ptr<route_table const> m_routes;
    /// Priority of the least important route to each service.
    std::map<std::string, uint32_t> m_lastPriorities;
    uint64_t m_seed;
    uint64_t m_drawCount = 0;
};

} // namespace bilberryyard
