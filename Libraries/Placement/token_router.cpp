#include <Placement/token_router.h>

#include <Base/hashing.h>
#include <algorithm>

namespace bilberryyard {

namespace {

    // Header and prefix of a packet.
    constexpr size_t overheadBytes = 44;

    forward_packet forwardTo(pooled_backend const& backend, packet_novelty novelty = packet_novelty::New)
    {
        return { backend.token, backend.entry.announcement.tag, backend.entry.announcement.address, novelty };
    }

} // namespace

char const* nameOf(reset_reason reason)
{
    switch (reason) {
    case reset_reason::NoRoute:
        return "no_route";
    case reset_reason::NoServer:
        return "no_server";
    case reset_reason::Overloaded:
        return "overloaded";
    case reset_reason::ServersWarmingUp:
        return "servers_warming_up";
    case reset_reason::LinkFull:
        return "link_full";
    case reset_reason::ServerGone:
        return "server_gone";
    case reset_reason::ServerUnresponsive:
        return "server_silent";
    }
    return "unknown";
}

char const* nameOf(discard_reason reason)
{
    switch (reason) {
    case discard_reason::UnknownToken:
        return "unknown_token";
    case discard_reason::NoToken:
        return "no_token";
    case discard_reason::NoConfiguration:
        return "no_configuration";
    case discard_reason::NoDirectory:
        return "no_directory";
    case discard_reason::ServerWarmingUp:
        return "server_warming_up";
    }
    return "unknown";
}

token_router::token_router(placement_settings const& settings, std::string const& zone, uint64_t seed)
    : m_pool(settings, zone, seed)
    , m_observer(settings, m_pool)
    , m_link({ .bytesPerSecond = settings.linkBytesPerSecond, .windowPackets = settings.callerWindowPackets })
    , m_seed(seed)
{
}

bool token_router::setRoutes(std::shared_ptr<route_table const> table)
{
    if (m_routes && table->version <= m_routes->version)
        return false;
    m_routes = std::move(table);
    m_pool.warmUp().setLimits(m_routes->services);
    m_lowestPriorities.clear();
    m_hasUploads = std::any_of(m_routes->routes.begin(), m_routes->routes.end(),
        [](auto const& item) { return item.second.kind == request_kind::Upload; });
    for (auto const& [address, route] : m_routes->routes) {
        for (auto const& target : route.services) {
            auto& last = m_lowestPriorities[m_routes->services.at(target.service).name];
            last = std::max(last, route.priority);
        }
    }
    return true;
}

std::string const& token_router::chooseService(service_route const& route)
{
    auto const& services = m_routes->services;
    uint64_t total = 0;
    for (auto const& target : route.services)
        total += target.weight;
    if (total == 0)
        return services.at(route.services.front().service).name;
    auto point = hashPair(m_seed, ++m_drawCount) % total;
    for (auto const& target : route.services) {
        if (point < target.weight)
            return services.at(target.service).name;
        point -= target.weight;
    }
    return services.at(route.services.back().service).name;
}

route_importance token_router::importanceOf(std::string const& service, service_route const& route) const
{
    return route.priority >= m_lowestPriorities.at(service) ? route_importance::Least : route_importance::Higher;
}

bool token_router::isAdmitted(
    caller_packet const& packet, std::string const& service, service_route const& route, monotonic_time now) const
{
    auto const callerHash = hashBytes(packet.flowEndpoints.caller.address.bytes, m_seed);
    return m_pool.overload().admits(service, route, importanceOf(service, route), callerHash, now);
}

reset_flow token_router::reset(caller_packet const& packet, reset_reason reason, monotonic_time now)
{
    auto const observation = m_observer.observationOf(packet.flowEndpoints, now);
    m_observer.removeFlow(packet.flowEndpoints);
    return { reason, {}, observation };
}

packet_decision token_router::open(caller_packet const& packet, monotonic_time now)
{
    if (m_observer.isOutdatedHandshake(packet)) {
        auto const* const server = m_pool.find(m_observer.serverTokenOf(packet.flowEndpoints));
        return server ? packet_decision(forwardTo(*server)) : discard_packet { discard_reason::UnknownToken };
    }
    if (!m_routes)
        return discard_packet { discard_reason::NoConfiguration };
    auto const route = m_routes->routes.find(packet.flowEndpoints.service);
    if (route == m_routes->routes.end() || route->second.services.empty())
        return reset_flow { reset_reason::NoRoute, {}, m_observer.observationOf(packet.flowEndpoints, now) };
    if (packet.retransmissionCount > 0)
        m_observer.recordRepeatedHandshake(packet, now);
    // If two servers responded to one handshake, the caller would receive two tokens. So the first server keeps the
    // flow unless it has stopped responding to all callers.
    auto* backend = m_pool.find(m_observer.serverTokenOf(packet.flowEndpoints));
    if (!backend || !m_pool.mayRepeatHandshake(*backend, now)) {
        auto const& service = chooseService(route->second);
        bool const hadServer = backend != nullptr;
        // A caller repeats a handshake packet unless it was refused, so another balancer may have forwarded the flow
        // to a server before. But a refused flow may have repetitions that were sent before the caller was notified.
        bool const mayRefuse = packet.retransmissionCount == 0 || m_observer.isRefused(packet.flowEndpoints);
        auto const refuse = [&](reset_reason reason, duration lowerQuartile) {
            reset_flow const refusal { reason, lowerQuartile, m_observer.observationOf(packet.flowEndpoints, now) };
            m_observer.recordRefusal(packet, now);
            return refusal;
        };
        bool const isUpload = route->second.kind == request_kind::Upload;
        if (!hadServer && mayRefuse && isUpload && !m_link.admits(packet.flowEndpoints, now))
            return refuse(reset_reason::LinkFull, {});
        if (!hadServer && mayRefuse && !isAdmitted(packet, service, route->second, now))
            return refuse(reset_reason::Overloaded, m_pool.overload().lowerQuartileResponseTime(service));
        auto const importance = importanceOf(service, route->second);
        backend = m_pool.select(service, route->second.kind, now, importance, route->second.targetLatency);
        if (m_pool.hasLimitedServer(service, now)) {
            m_pool.warmUp().recordDemand(service);
            if (!backend && (hadServer || !mayRefuse))
                return discard_packet { discard_reason::ServerWarmingUp };
            if (!backend) {
                m_pool.warmUp().recordRejection(service, importance, now);
                return reset(packet, reset_reason::ServersWarmingUp, now);
            }
        }
    } else if (m_pool.isLimited(*backend, now)) {
        auto const& service = backend->entry.announcement.service;
        m_pool.warmUp().recordDemand(service);
        if (!m_pool.warmUp().mayOpen(backend->token, service, route_importance::Higher, now))
            return discard_packet { discard_reason::ServerWarmingUp };
    }
    if (!backend && m_pool.coverage() == directory_coverage::Partial)
        return discard_packet { discard_reason::NoDirectory };
    if (!backend)
        return reset(packet, reset_reason::NoServer, now);
    if (m_pool.isLimited(*backend, now))
        m_pool.warmUp().recordOpening(backend->token, backend->entry.announcement.service, now);
    m_observer.recordHandshake(packet, backend->token, route->second.kind, now);
    if (route->second.kind == request_kind::Upload)
        m_link.recordHandshake(packet.flowEndpoints, now);
    return forwardTo(*backend);
}

service_route const* token_router::routeOf(flow_endpoints const& flowEndpoints) const
{
    if (!m_routes)
        return nullptr;
    auto const route = m_routes->routes.find(flowEndpoints.service);
    return route == m_routes->routes.end() ? nullptr : &route->second;
}

bool token_router::mayRepeatRequest(caller_packet const& packet) const
{
    auto const* const route = routeOf(packet.flowEndpoints);
    return route && isIdempotent(route->kind);
}

void token_router::recordOnLink(caller_packet const& packet, monotonic_time now)
{
    if (!m_hasUploads || !m_link.isLimited())
        return;
    auto const* const route = routeOf(packet.flowEndpoints);
    if (!route || route->kind != request_kind::Upload)
        m_link.recordTraffic(packet.payloadBytes + overheadBytes, route ? route->targetLatency : duration::zero(), now);
    else if (packet.purpose != packet_purpose::Open)
        m_link.recordPacket(packet, now);
}

packet_decision token_router::decide(caller_packet const& packet, monotonic_time now)
{
    if (packet.purpose == packet_purpose::Open) {
        recordOnLink(packet, now);
        return open(packet, now);
    }
    auto const token = packet.token != noToken ? packet.token : m_observer.serverTokenOf(packet.flowEndpoints);
    if (token == noToken)
        return discard_packet { discard_reason::NoToken };
    auto* const backend = m_pool.find(token);
    if (!backend)
        return discard_packet { discard_reason::UnknownToken };
    recordOnLink(packet, now);
    auto const novelty = m_observer.recordPacket(packet, now);
    if (packet.purpose != packet_purpose::Abort && m_pool.hasStopped(*backend, novelty)) {
        // The endpoints may belong to a later flow with another server by now, which a reset would end.
        auto const trackedToken = m_observer.serverTokenOf(packet.flowEndpoints);
        if (trackedToken == noToken || trackedToken == token)
            return reset(packet, reset_reason::ServerGone, now);
    }
    if (novelty == packet_novelty::Repeated && mayRepeatRequest(packet) && m_pool.isPresumedDead(*backend, now))
        return reset(packet, reset_reason::ServerUnresponsive, now);
    return forwardTo(*backend, novelty);
}

void token_router::sweep(monotonic_time now)
{
    m_observer.sweep(now, m_routes ? m_routes->idleTimeout : duration(std::chrono::seconds(15)));
}

} // namespace bilberryyard
