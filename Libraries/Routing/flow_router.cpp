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
    // Hosts may have different configurations; a packet must not reach the server of another service (P2).
    if (origin && origin->service != routes.service())
        return drop_packet { drop_reason::BadRelayHeader };
    packet_context context { packet, origin, now, tickOf(now),
        { hashFlow(packet.key, m_view->hashSeed), routes.shortService() }, routes };
    bool const isRecord = origin && origin->kind == relay_kind::Record;
    if (!routes.table())
        return isRecord ? routeRecordAsNonWitness(context) : relayToAnyPeer(context);
    context.index = routes.table()->bucketIndex(context.id.hash);
    if (isRecord)
        return routeRecord(context);
    if (!isSynchronised(now) && !isIsolated(now))
        return relayToAnyPeer(context);
    if (context.target().phase == bucket_phase::Stable)
        return routeStable(context);
    if (packet.kind == packet_kind::TcpSyn || packet.kind == packet_kind::Datagram)
        return routeOpening(context);
    return routeSegment(context);
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
        auto const voidedBuckets = routes.setView(*view);
        for (auto const index : voidedBuckets)
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
    bool const isolated = isIsolated(now);
    return m_flows.sweep(entries, [&](flow_entry const& entry) {
        if (m_timeouts.isExpired(entry, tick))
            return true;
        auto const found = byShortService.find(entry.service);
        if (found == byShortService.end() || !found->second->table())
            return true;
        auto const& table = *found->second->table();
        return !isolated && !found->second->storesEntriesFor(table.at(table.bucketIndex(entry.hash)));
    });
}

void flow_router::observe(monotonic_time now)
{
    if (m_now != monotonic_time::min() && now - m_now > m_settings.suspensionThreshold)
        m_resumedAt = now;
    m_now = now;
    if (!m_viewChanged)
        return;
    m_viewChanged = false;
    for (auto& [service, routes] : m_routes)
        routes.observe(now);
}

bool flow_router::wasSuspended() const
{
    return m_resumedAt != monotonic_time::min() && m_now - m_resumedAt < m_settings.resumptionWindow;
}

bool flow_router::isSynchronised(monotonic_time now) const
{
    return m_view->state == synchronisation::Synchronised && now <= m_view->synchronisedUntil;
}

bool flow_router::isIsolated(monotonic_time now) const
{
    return m_view->state == synchronisation::Isolated || (!isSynchronised(now) && m_view->peers.empty());
}

flow_entry const* flow_router::findUnexpired(flow_id const& id, flow_tick tick) const
{
    auto const* entry = m_flows.find(id);
    return entry && !m_timeouts.isExpired(*entry, tick) ? entry : nullptr;
}

flow_router::resolution flow_router::resolve(service_routes const& routes, bucket const& target, flow_id const& id,
    uint8_t firstGroup, std::optional<host_id> sender, monotonic_time now) const
{
    auto const tick = tickOf(now);
    auto const& groups = routes.witnessViewOf(target).groups();
    if (isIsolated(now)) {
        auto const* entry = findUnexpired(id, tick);
        return entry ? resolution { routing_rule::ExplicitEntry, entry->server, {}, 0, entry }
                     : resolution { routing_rule::Base, target.base, {}, 0, nullptr };
    }
    if (groups.empty())
        return {};
    for (size_t index = std::min<size_t>(firstGroup, groups.size() - 1); index < groups.size(); ++index) {
        auto const& group = groups[index];
        auto const groupIndex = static_cast<uint8_t>(index);
        if (!group.primary)
            return {};
        auto const* entry = group.selfMember ? findUnexpired(id, tick) : nullptr;
        if (entry) {
            // While the primary may still reassign the flow, it must see every sign of progress.
            bool const leaveToPrimary = entry->state == flow_state::Handshaking
                && !entry->has(flow_flags::chosenAsPrimary) && !group.selfPrimary && sender != group.primary
                && elapsed(entry->lastSeen, tick) < m_settings.handshakeRelayWindow;
            if (leaveToPrimary)
                return { routing_rule::Relayed, noServer, *group.primary, groupIndex, nullptr };
            return { routing_rule::ExplicitEntry, entry->server, {}, groupIndex, entry };
        }
        if (group.selfComplete)
            continue;
        // A filling witness may lack the entry, so it cannot conclude that the flow has none.
        if (group.selfPrimary)
            return {};
        return { routing_rule::Relayed, noServer, *group.primary, groupIndex, nullptr };
    }
    return { routing_rule::Base, target.base, {}, 0, nullptr };
}

forwarding_action flow_router::routeStable(packet_context const& context)
{
    ++m_counters.stable;
    auto const server = context.target().current;
    if (context.packet.kind == packet_kind::TcpSyn) {
        // A stable bucket has no entries, so a duplicate SYN of an established flow looks like a new flow, and
        // refusing it could be wrong (P4). After a drop the caller retransmits, and the planner moves the buckets
        // of a full server.
        if (m_admission.isFull(server))
            return drop_packet { drop_reason::NoServer };
        m_admission.countAssigned(server);
    }
    return deliver(context, server);
}

forwarding_action flow_router::routeSegment(packet_context const& context)
{
    auto const sender = context.origin ? std::optional(context.origin->sender) : std::nullopt;
    auto const found = resolve(context.routes, context.target(), context.id, context.group(), sender, context.now);
    switch (found.rule) {
    case routing_rule::Relayed:
        return relay(context, found.host, relay_kind::Lookup, found.group, noServer);
    case routing_rule::Base:
        ++m_counters.base;
        if (context.target().base != context.target().current)
            context.routes.historyOf(context.index).lastBaseUse = context.now;
        return deliver(context, found.server);
    case routing_rule::ExplicitEntry:
        ++m_counters.explicitEntry;
        if (m_admission.conditionOf(found.server) == server_condition::Dead)
            return deliver(context, found.server);
        if (context.packet.kind != packet_kind::IcmpError
            && recordProgress(context, const_cast<flow_entry&>(*found.entry)))
            return share(context, found.server, found.group);
        return deliver(context, found.server);
    default:
        return drop_packet { drop_reason::NoPeer };
    }
}

forwarding_action flow_router::routeRecord(packet_context const& context)
{
    auto const server = context.origin->server;
    if (!m_admission.conditionOf(server, context.routes.service()))
        return drop_packet { drop_reason::NoServer };
    if (!context.routes.storesEntriesFor(context.target()))
        return routeRecordAsNonWitness(context);
    return recordAsWitness(context, server);
}

// Handles a record that reached a host which is not a witness or does not know yet that it is one, because the views
// differ or the host restarted. The flow must not be established, as the witnesses after this host may lack its entry.
forwarding_action flow_router::routeRecordAsNonWitness(packet_context const& context)
{
    auto const server = context.origin->server;
    // The witnesses already have the flow; this record would only have updated their entries.
    if (context.packet.kind == packet_kind::TcpSegment)
        return deliver(context, server);
    // In the first phase the chosen server always equals base, so the flow needs no entry.
    auto const* table = context.routes.table();
    bool const firstPhase
        = table && context.target().phase == bucket_phase::Stable && context.target().current == server;
    return firstPhase ? deliver(context, server) : drop_packet { drop_reason::NoPeer };
}

forwarding_action flow_router::recordAsWitness(packet_context const& context, server_id server)
{
    auto const& groups = context.witnesses().groups();
    auto const groupIndex = static_cast<uint8_t>(std::min<size_t>(context.group(), groups.size() - 1));
    auto const& group = groups[groupIndex];
    bool const isSyn = context.packet.kind == packet_kind::TcpSyn;
    // The sender has another order of witnesses in its view, so one of them could be skipped. The caller retransmits,
    // and by then the views agree.
    if (isSyn && group.memberBefore(m_view->self.host) != context.origin->sender)
        return drop_packet { drop_reason::NoPeer };
    auto* entry = const_cast<flow_entry*>(findUnexpired(context.id, context.tick));
    // When two hosts both consider themselves the primary, neither may change the server of an established flow.
    if (entry && entry->server != server && group.selfPrimary && entry->state == flow_state::Established)
        return deliver(context, entry->server);
    if (!entry || entry->server != server) {
        flow_entry const newEntry { context.id.hash, server, context.tick, 0, context.id.service,
            isSyn ? flow_state::Handshaking : flow_state::Established,
            context.isDatagram() ? flow_flags::datagram : uint8_t { 0 } };
        entry = m_flows.put(newEntry, context.tick);
        if (!entry) {
            // Forwarding would let the flow be established while this witness lacks its entry.
            ++m_counters.tableFull;
            return drop_packet { drop_reason::NoServer };
        }
    } else if (isSyn && entry->state != flow_state::Established) {
        entry->state = flow_state::Handshaking;
        entry->flags = 0;
        entry->lastSeen = context.tick;
    }
    // This host does not see the whole handshake, so it must not reassign the flow later.
    entry->flags &= static_cast<uint8_t>(~flow_flags::chosenAsPrimary);
    if (!isSyn) {
        recordProgress(context, *entry);
        entry->flags &= static_cast<uint8_t>(~flow_flags::resharePending);
        entry->lastSeen = context.tick;
    }
    if (auto const next = group.nextMemberAfter(m_view->self.host, context.origin->sender))
        return relay(context, *next, relay_kind::Record, groupIndex, server);
    return deliver(context, server);
}

forwarding_action flow_router::relayToAnyPeer(packet_context const& context)
{
    auto const& peers = m_view->peers;
    if (peers.empty())
        return drop_packet { drop_reason::NoPeer };
    auto position = static_cast<size_t>(hashPair(context.id.hash, m_view->self.host.value) % peers.size());
    // The sender relayed the packet because it is unsynchronised itself; another peer may have the current table.
    if (context.origin && peers[position].host == context.origin->sender)
        position = (position + 1) % peers.size();
    return relay(context, peers[position].host, relay_kind::Lookup, context.group(), noServer);
}

forwarding_action flow_router::deliver(packet_context const& context, server_id server)
{
    auto const condition = m_admission.conditionOf(server, context.routes.service());
    // This host may not have discovered the server yet, so the flow must not be reset.
    if (!condition && server != noServer)
        return drop_packet { drop_reason::NoServer };
    if (condition && *condition != server_condition::Dead)
        return forward_to_server { context.routes.service(), server };
    switch (context.packet.kind) {
    case packet_kind::Datagram:
        return reject(rejection_kind::PortUnreachable);
    case packet_kind::TcpSegment:
        // RFC 9293 section 3.10.7.1: no RST is sent in reply to a segment that carries RST.
        if ((context.packet.tcpFlags & tcp_flags::rst) == 0)
            return reject(rejection_kind::ConnectionReset);
        break;
    case packet_kind::TcpSyn:
    case packet_kind::IcmpError:
        break;
    }
    return drop_packet { drop_reason::ServerDead };
}

forwarding_action flow_router::relay(
    packet_context const& context, host_id host, relay_kind kind, uint8_t group, server_id server)
{
    auto const relays = context.origin ? context.origin->relays : 0;
    if (relays >= maximumRelays)
        return drop_packet { drop_reason::TooManyRelays };
    ++m_counters.relays;
    return relay_to_host { host,
        { kind, static_cast<uint8_t>(relays + 1), group, m_view->self.host, context.routes.service(), server,
            context.origin ? context.origin->ageMilliseconds : uint16_t { 0 } } };
}

forwarding_action flow_router::share(packet_context const& context, server_id server, uint8_t group)
{
    auto const& groups = context.witnesses().groups();
    if (group < groups.size() && !isIsolated(context.now)) {
        if (auto const other = groups[group].firstOtherMember(m_view->self.host))
            return relay(context, *other, relay_kind::Record, group, server);
    }
    return deliver(context, server);
}

forwarding_action flow_router::reject(rejection_kind kind)
{
    ++m_counters.rejected;
    return reject_packet { kind };
}

} // namespace bilberryyard
