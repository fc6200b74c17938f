#include <Routing/flow_router.h>

#include <Base/hashing.h>
#include <algorithm>

namespace bilberryyard {

flow_router::flow_router(flow_router_settings const& settings)
    : m_settings(settings)
    , m_flows(settings.maximumFlows)
{
}

forwarding_action flow_router::route(parsed_packet const& packet, packet_origin const& origin, monotonic_time now)
{
    observe(now);
    if (packet.kind == packet_kind::TcpSyn && wasSuspended())
        return drop_packet { drop_reason::RelayTooOld };
    if (origin && origin->relays > maximumRelays)
        return drop_packet { drop_reason::TooManyRelays };
    if (origin && std::chrono::milliseconds(origin->ageMilliseconds) > m_settings.maximumRelayAge)
        return drop_packet { drop_reason::RelayTooOld };
    auto const endpoint = m_endpoints.findPosition(packet.key);
    if (!endpoint)
        return drop_packet { drop_reason::NoService };
    auto& routes = *m_endpointRoutes[*endpoint];
    // Hosts with different configurations must not hand packets to each other's services (P2).
    if (origin && origin->service != routes.service())
        return drop_packet { drop_reason::BadRelayHeader };
    request asked { packet, origin, now, tickOf(now), { hashFlow(packet.key, m_view->hashSeed), routes.shortService() },
        routes };
    bool const isRecord = origin && origin->kind == relay_kind::Record;
    if (!routes.table())
        return isRecord ? routeForeignRecord(asked) : relayToAnyPeer(asked);
    asked.index = routes.table()->bucketIndex(asked.id.hash);
    if (isRecord)
        return routeRecord(asked);
    if (!isSynchronised(now) && !decidesAlone(now))
        return relayToAnyPeer(asked);
    if (asked.target().phase == bucket_phase::Stable)
        return routeStable(asked);
    if (packet.kind == packet_kind::TcpSyn || packet.kind == packet_kind::Datagram)
        return routeOpening(asked);
    return routeSegment(asked);
}

void flow_router::setView(std::shared_ptr<routing_view const> const& view)
{
    m_view = view;
    m_endpoints.setEndpoints(view->endpoints);
    m_admission.setServers(view->servers, view->peers.size() + 1);
    m_timeouts.established = view->flowIdleTimeout;
    m_timeouts.datagram = view->datagramIdleTimeout;
    m_endpointRoutes.clear();
    for (auto const& endpoint : view->endpoints)
        m_endpointRoutes.push_back(&m_routes.try_emplace(endpoint.service, endpoint.service).first->second);
    for (auto& [service, routes] : m_routes) {
        auto const fresh = routes.setView(*view);
        for (auto const index : fresh)
            m_flows.eraseBucket(routes.shortService(), routes.table()->bucketCount(), index);
    }
    m_viewChanged = true;
}

size_t flow_router::expire(monotonic_time now, size_t entries)
{
    observe(now);
    auto const tick = tickOf(now);
    std::unordered_map<uint16_t, service_routes const*> byShortService;
    for (auto const& [service, routes] : m_routes)
        byShortService.emplace(routes.shortService(), &routes);
    bool const alone = decidesAlone(now);
    return m_flows.sweep(entries, [&](flow_entry const& entry) {
        if (m_timeouts.isExpired(entry, tick))
            return true;
        auto const found = byShortService.find(entry.service);
        if (found == byShortService.end() || !found->second->table())
            return true;
        auto const& table = *found->second->table();
        return !alone && !found->second->holds(table.at(table.bucketIndex(entry.hash)));
    });
}

void flow_router::observe(monotonic_time now)
{
    if (m_now != monotonic_time::min() && now - m_now > m_settings.suspensionGap)
        m_resumed = now;
    m_now = now;
    if (!m_viewChanged)
        return;
    m_viewChanged = false;
    for (auto& [service, routes] : m_routes)
        routes.observe(now);
}

bool flow_router::wasSuspended() const
{
    return m_resumed != monotonic_time::min() && m_now - m_resumed < m_settings.suspensionHold;
}

bool flow_router::isSynchronised(monotonic_time now) const
{
    return m_view->state == synchronisation::Synchronised && now <= m_view->synchronisedUntil;
}

bool flow_router::decidesAlone(monotonic_time now) const
{
    return m_view->state == synchronisation::Isolated || (!isSynchronised(now) && m_view->peers.empty());
}

flow_entry const* flow_router::findLive(flow_id const& id, flow_tick tick) const
{
    auto const* entry = m_flows.find(id);
    return entry && !m_timeouts.isExpired(*entry, tick) ? entry : nullptr;
}

flow_router::resolution flow_router::resolve(service_routes const& routes, bucket const& target, flow_id const& id,
    uint8_t firstGroup, std::optional<host_id> sender, monotonic_time now) const
{
    auto const tick = tickOf(now);
    auto const& groups = routes.planOf(target).groups();
    if (decidesAlone(now)) {
        auto const* entry = findLive(id, tick);
        return entry ? resolution { routing_rule::ExplicitEntry, entry->server, {}, 0, entry }
                     : resolution { routing_rule::Base, target.base, {}, 0, nullptr };
    }
    if (groups.empty())
        return {};
    for (size_t index = std::min<size_t>(firstGroup, groups.size() - 1); index < groups.size(); ++index) {
        auto const& group = groups[index];
        auto const number = static_cast<uint8_t>(index);
        if (!group.primary)
            return {};
        auto const* entry = group.selfMember ? findLive(id, tick) : nullptr;
        if (entry) {
            // The primary must see the flow's progress as long as it may still exchange the server.
            bool const leaveToPrimary = entry->state == flow_state::Handshaking && !entry->has(flow_flags::ownChoice)
                && !group.selfPrimary && sender != group.primary
                && elapsed(entry->lastSeen, tick) < m_settings.handshakeRelay;
            if (leaveToPrimary)
                return { routing_rule::Relayed, noServer, *group.primary, number, nullptr };
            return { routing_rule::ExplicitEntry, entry->server, {}, number, entry };
        }
        if (group.selfComplete)
            continue;
        // A filling witness without an entry knows nothing of the flow.
        if (group.selfPrimary)
            return {};
        return { routing_rule::Relayed, noServer, *group.primary, number, nullptr };
    }
    return { routing_rule::Base, target.base, {}, 0, nullptr };
}

forwarding_action flow_router::routeStable(request const& asked)
{
    ++m_counters.stable;
    auto const server = asked.target().current;
    if (asked.packet.kind == packet_kind::TcpSyn) {
        // Without an entry a duplicate looks like a new flow, so a rejection might be untrue (P4). The caller
        // retransmits, and the planner moves the bucket of a full server.
        if (m_admission.isFull(server))
            return drop_packet { drop_reason::NoServer };
        m_admission.countAssigned(server);
    }
    return deliver(asked, server);
}

forwarding_action flow_router::routeSegment(request const& asked)
{
    auto const sender = asked.origin ? std::optional(asked.origin->sender) : std::nullopt;
    auto const found = resolve(asked.routes, asked.target(), asked.id, asked.group(), sender, asked.now);
    switch (found.rule) {
    case routing_rule::Relayed:
        return relay(asked, found.host, relay_kind::Lookup, found.group, noServer);
    case routing_rule::Base:
        ++m_counters.base;
        if (asked.target().base != asked.target().current)
            asked.routes.memoryOf(asked.index).lastBaseUse = asked.now;
        return deliver(asked, found.server);
    case routing_rule::ExplicitEntry:
        ++m_counters.explicitEntry;
        if (m_admission.conditionOf(found.server) == server_condition::Dead)
            return deliver(asked, found.server);
        if (asked.packet.kind != packet_kind::IcmpError && noteProgress(asked, const_cast<flow_entry&>(*found.entry)))
            return share(asked, found.server, found.group);
        return deliver(asked, found.server);
    default:
        return drop_packet { drop_reason::NoPeer };
    }
}

forwarding_action flow_router::routeRecord(request const& asked)
{
    auto const server = asked.origin->server;
    if (!m_admission.conditionOf(server, asked.routes.service()))
        return drop_packet { drop_reason::NoServer };
    if (!asked.routes.holds(asked.target()))
        return routeForeignRecord(asked);
    return recordAsWitness(asked, server);
}

// A record that reaches a host which is no witness, or does not know yet that it is one: views differ, or the host
// restarted. A flow must not be established while a witness behind this host may lack it.
forwarding_action flow_router::routeForeignRecord(request const& asked)
{
    auto const server = asked.origin->server;
    // The witnesses know the flow already; this packet would only have renewed their entries.
    if (asked.packet.kind == packet_kind::TcpSegment)
        return deliver(asked, server);
    // In the first phase every choice equals base, with or without an entry.
    auto const* table = asked.routes.table();
    bool const firstPhase = table && asked.target().phase == bucket_phase::Stable && asked.target().current == server;
    return firstPhase ? deliver(asked, server) : drop_packet { drop_reason::NoPeer };
}

forwarding_action flow_router::recordAsWitness(request const& asked, server_id server)
{
    auto const& groups = asked.plan().groups();
    auto const number = static_cast<uint8_t>(std::min<size_t>(asked.group(), groups.size() - 1));
    auto const& group = groups[number];
    bool const isSyn = asked.packet.kind == packet_kind::TcpSyn;
    // The sender's order of the witnesses differs from this host's, so one of them might be left out. The caller
    // retransmits when the views agree.
    if (isSyn && group.memberBefore(m_view->self.host) != asked.origin->sender)
        return drop_packet { drop_reason::NoPeer };
    auto* entry = const_cast<flow_entry*>(findLive(asked.id, asked.tick));
    // Two hosts that each take themselves for the primary must not exchange the server of a flow in progress.
    if (entry && entry->server != server && group.selfPrimary && entry->state == flow_state::Established)
        return deliver(asked, entry->server);
    if (!entry || entry->server != server) {
        flow_entry const fresh { asked.id.hash, server, asked.tick, 0, asked.id.service,
            isSyn ? flow_state::Handshaking : flow_state::Established,
            asked.isDatagram() ? flow_flags::datagram : uint8_t { 0 } };
        entry = m_flows.put(fresh, asked.tick);
        if (!entry) {
            // Not forwarding is what keeps the witnesses equal: the flow is established only when all have it.
            ++m_counters.tableFull;
            return drop_packet { drop_reason::NoServer };
        }
    } else if (isSyn && entry->state != flow_state::Established) {
        entry->state = flow_state::Handshaking;
        entry->flags = 0;
        entry->lastSeen = asked.tick;
    }
    // This host does not see all of the handshake, so it must not exchange the server later.
    entry->flags &= static_cast<uint8_t>(~flow_flags::ownChoice);
    if (!isSyn) {
        noteProgress(asked, *entry);
        entry->flags &= static_cast<uint8_t>(~flow_flags::shareAgain);
        entry->lastSeen = asked.tick;
    }
    if (auto const next = group.nextAfter(m_view->self.host, asked.origin->sender))
        return relay(asked, *next, relay_kind::Record, number, server);
    return deliver(asked, server);
}

forwarding_action flow_router::relayToAnyPeer(request const& asked)
{
    auto const& peers = m_view->peers;
    if (peers.empty())
        return drop_packet { drop_reason::NoPeer };
    auto position = static_cast<size_t>(hashPair(asked.id.hash, m_view->self.host.value) % peers.size());
    // A peer that is unsynchronised itself sent the packet here; another one may know better.
    if (asked.origin && peers[position].host == asked.origin->sender)
        position = (position + 1) % peers.size();
    return relay(asked, peers[position].host, relay_kind::Lookup, asked.group(), noServer);
}

forwarding_action flow_router::deliver(request const& asked, server_id server)
{
    auto const condition = m_admission.conditionOf(server, asked.routes.service());
    // A server that this host has not heard of is no proof that the flow is lost.
    if (!condition && server != noServer)
        return drop_packet { drop_reason::NoServer };
    if (condition && *condition != server_condition::Dead)
        return forward_to_server { asked.routes.service(), server };
    switch (asked.packet.kind) {
    case packet_kind::Datagram:
        return reject(rejection_kind::PortUnreachable);
    case packet_kind::TcpSegment:
        // RFC 9293 section 3.10.7.1: a segment that carries RST is not answered.
        if ((asked.packet.tcpFlags & tcp_flags::rst) == 0)
            return reject(rejection_kind::ConnectionReset);
        break;
    case packet_kind::TcpSyn:
    case packet_kind::IcmpError:
        break;
    }
    return drop_packet { drop_reason::ServerDead };
}

forwarding_action flow_router::relay(
    request const& asked, host_id host, relay_kind kind, uint8_t group, server_id server)
{
    auto const relays = asked.origin ? asked.origin->relays : 0;
    if (relays >= maximumRelays)
        return drop_packet { drop_reason::TooManyRelays };
    ++m_counters.relays;
    return relay_to_host { host,
        { kind, static_cast<uint8_t>(relays + 1), group, m_view->self.host, asked.routes.service(), server,
            asked.origin ? asked.origin->ageMilliseconds : uint16_t { 0 } } };
}

forwarding_action flow_router::share(request const& asked, server_id server, uint8_t group)
{
    auto const& groups = asked.plan().groups();
    if (group < groups.size() && !decidesAlone(asked.now)) {
        if (auto const other = groups[group].firstOther(m_view->self.host))
            return relay(asked, *other, relay_kind::Record, group, server);
    }
    return deliver(asked, server);
}

forwarding_action flow_router::reject(rejection_kind kind)
{
    ++m_counters.rejected;
    return reject_packet { kind };
}

} // namespace bilberryyard
