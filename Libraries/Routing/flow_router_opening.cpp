#include <Routing/flow_router.h>

#include <Base/hashing.h>

namespace bilberryyard {

namespace {

    // Delay after which the change to established is shared a second time, in case the first record was lost.
    constexpr std::chrono::milliseconds reshareDelay { 1'000 };
    // A segment from the caller this long after its RST shows that the flow is still open: the RST was forged or
    // outside the receive window.
    constexpr std::chrono::milliseconds reopenAfterResetDelay { 1'000 };
    // Number of buckets probed for a server that admits a flow, before all servers are tried.
    constexpr uint64_t bucketProbeCount = 8;

} // namespace

forwarding_action flow_router::routeOpening(packet_context const& context)
{
    if (isIsolated(context.now))
        return openAsPrimary(context);
    auto const& groups = context.witnesses().groups();
    if (groups.empty() || !groups[0].primary)
        return drop_packet { drop_reason::NoPeer };
    auto const groupIndex = context.group();
    if (groupIndex > 0 && groupIndex < groups.size())
        return routeGroupLookup(context, groupIndex);
    auto const& group = groups[0];
    if (context.isDatagram() && group.selfMember) {
        if (auto* entry = const_cast<flow_entry*>(findUnexpired(context.id, context.tick)))
            return useDatagramEntry(context, *entry, 0);
    }
    if (!group.selfPrimary)
        return relay(context, *group.primary, relay_kind::Lookup, groupIndex, noServer);
    return openAsPrimary(context);
}

// Handles a lookup from another primary that checks whether this group has an entry of the flow (docs/design.md
// section 3.3).
forwarding_action flow_router::routeGroupLookup(packet_context const& context, uint8_t groupIndex)
{
    auto const& groups = context.witnesses().groups();
    auto const& group = groups[groupIndex];
    if (group.selfMember) {
        auto* entry = const_cast<flow_entry*>(findUnexpired(context.id, context.tick));
        if (entry && context.isDatagram())
            return useDatagramEntry(context, *entry, groupIndex);
        if (entry && entry->state != flow_state::Closed)
            return deliver(context, entry->server);
    }
    auto const next = context.witnesses().nextGroupToQuery(group.selfMember ? groupIndex + 1 : groupIndex);
    if (next)
        return relay(context, *groups[*next].primary, relay_kind::Lookup, *next, noServer);
    auto const allGroupsQueried = static_cast<uint8_t>(groups.size());
    if (groups[0].selfPrimary)
        return openAsPrimary(context);
    return relay(context, *groups[0].primary, relay_kind::Lookup, allGroupsQueried, noServer);
}

forwarding_action flow_router::openAsPrimary(packet_context const& context)
{
    if (auto* entry = const_cast<flow_entry*>(findUnexpired(context.id, context.tick)))
        return context.isDatagram() ? useDatagramEntry(context, *entry, 0) : openWithEntry(context, *entry);
    auto const& witnesses = context.witnesses();
    auto const merged = context.routes.historyOf(context.index).mergedSince;
    // For a while after a merge, duplicates of SYNs that the remote side of the partition recorded may arrive. A
    // datagram can belong to a flow of the remote side at any time.
    bool const shouldQueryOtherGroups
        = context.isDatagram() || (merged != monotonic_time::min() && context.now - merged < m_settings.synGracePeriod);
    if (shouldQueryOtherGroups && context.group() == 0) {
        if (auto const next = witnesses.nextGroupToQuery(1); next && !isIsolated(context.now))
            return relay(context, *witnesses.groups()[*next].primary, relay_kind::Lookup, *next, noServer);
    }
    return openNewFlow(context);
}

forwarding_action flow_router::openWithEntry(packet_context const& context, flow_entry& entry)
{
    auto const condition = m_admission.conditionOf(entry.server);
    bool const dead = condition == server_condition::Dead;
    auto const age = elapsed(entry.lastSeen, context.tick);
    if (entry.state == flow_state::Closed) {
        // An accepting server itself distinguishes a reused port from a duplicate SYN (RFC 9293 section 3.6.1).
        if (condition != server_condition::Accepting) {
            if (age < m_settings.closedFlowWindow)
                return drop_packet { drop_reason::NoServer };
            return openNewFlow(context);
        }
        entry.state = flow_state::Handshaking;
        entry.flags = flow_flags::chosenAsPrimary;
        entry.lastSeen = context.tick;
        return share(context, entry.server, 0);
    }
    if (dead && entry.state == flow_state::Handshaking && entry.has(flow_flags::chosenAsPrimary))
        return openNewFlow(context);
    if (dead) {
        // Payload may have reached the dead server, so this flow cannot be reassigned and is closed. A
        // retransmission of the SYN opens a new flow.
        entry.state = flow_state::Closed;
        entry.flags = 0;
        entry.lastSeen = context.tick;
        return drop_packet { drop_reason::ServerDead };
    }
    if (mayReassign(context, entry)) {
        auto const other = otherServer(context, entry.server);
        if (other && context.routes.retries().tryAcquire(context.now)) {
            ++m_counters.reassigned;
            m_flows.setServer(entry, *other);
            entry.flags |= flow_flags::retried;
            m_admission.countAssigned(*other);
        }
    }
    // The reassignment delay counts from the last SYN forwarded, because the first one may have been lost.
    if (entry.state == flow_state::Handshaking)
        entry.lastSeen = context.tick;
    return share(context, entry.server, 0);
}

bool flow_router::mayReassign(packet_context const& context, flow_entry const& entry) const
{
    // While current equals base, some hosts may still treat the bucket as stable and ignore entries.
    if (entry.state != flow_state::Handshaking || !entry.has(flow_flags::chosenAsPrimary)
        || entry.has(flow_flags::retried) || context.target().current == context.target().base)
        return false;
    auto const age = elapsed(entry.lastSeen, context.tick);
    return age >= m_settings.minimumReassignmentDelay && age < m_settings.maximumReassignmentDelay;
}

forwarding_action flow_router::openNewFlow(packet_context const& context)
{
    auto const& target = context.target();
    auto const since = context.routes.historyOf(context.index).trackedSince;
    bool const grace
        = !context.isDatagram() && since != monotonic_time::min() && context.now - since < m_settings.synGracePeriod;
    auto server = chooseServer(context);
    if (grace && target.base != noServer && m_admission.conditionOf(target.base) != server_condition::Dead)
        server = m_admission.isFull(target.base) ? std::nullopt : std::optional(target.base);
    if (!server) {
        // Refusing could be wrong (P4) while hosts have different tables, or while the SYN may be a duplicate of a
        // flow without an entry. After a drop the caller retransmits.
        if (context.isDatagram())
            return reject(rejection_kind::PortUnreachable);
        if (grace || target.current == target.base)
            return drop_packet { drop_reason::NoServer };
        return reject(rejection_kind::ConnectionRefused);
    }
    auto const flags = context.isDatagram() ? flow_flags::datagram : flow_flags::chosenAsPrimary;
    auto const state = context.isDatagram() ? flow_state::Established : flow_state::Handshaking;
    flow_entry const newEntry { context.id.hash, *server, context.tick, 0, context.id.service, state, flags };
    if (!m_flows.put(newEntry, context.tick)) {
        ++m_counters.tableFull;
        return drop_packet { drop_reason::NoServer };
    }
    ++m_counters.newFlows;
    context.routes.retries().countNewFlow(context.now);
    m_admission.countAssigned(*server);
    return share(context, *server, 0);
}

std::optional<server_id> flow_router::chooseServer(packet_context const& context) const
{
    auto const& target = context.target();
    if (m_admission.admits(target.current))
        return target.current;
    // While current equals base, some hosts may still treat the bucket as stable, so no other server can be chosen.
    // A closed server that is not full receives new flows until the second phase.
    if (target.current == target.base) {
        bool const usable = m_admission.conditionOf(target.current) == server_condition::Closed
            && !m_admission.isFull(target.current);
        return usable ? std::optional(target.current) : std::nullopt;
    }
    return otherServer(context, target.current);
}

std::optional<server_id> flow_router::otherServer(packet_context const& context, server_id excluded) const
{
    // Probing buckets respects the weights of servers, because a weight determines the number of buckets.
    auto const& table = *context.routes.table();
    for (uint64_t attempt = 0; attempt < bucketProbeCount; ++attempt) {
        auto const server = table.at(table.bucketIndex(hashPair(context.id.hash, attempt))).current;
        if (server != excluded && m_admission.admits(server))
            return server;
    }
    for (auto const server : context.routes.currentServers()) {
        if (server != excluded && m_admission.admits(server))
            return server;
    }
    return std::nullopt;
}

forwarding_action flow_router::useDatagramEntry(packet_context const& context, flow_entry& entry, uint8_t group)
{
    ++m_counters.explicitEntry;
    // The entry is not renewed, so that it expires and a caller that keeps sending gets another server.
    if (m_admission.conditionOf(entry.server) == server_condition::Dead)
        return reject(rejection_kind::PortUnreachable);
    auto const server = entry.server;
    return recordProgress(context, entry) ? share(context, server, group) : deliver(context, server);
}

// Updates an entry from a packet. Returns whether the update must be shared with the other witnesses. Only then is
// lastSeen changed, so that the entry expires at about the same time on all witnesses although most packets pass only
// one of them.
bool flow_router::recordProgress(packet_context const& context, flow_entry& entry) const
{
    auto const flags = context.packet.tcpFlags;
    auto const age = elapsed(entry.lastSeen, context.tick);
    bool shouldShare = age * 4 > m_timeouts.of(entry);
    if (!context.isDatagram()) {
        if ((flags & tcp_flags::ack) != 0)
            entry.acknowledgement = context.packet.tcpAcknowledgement;
        if ((flags & tcp_flags::rst) != 0) {
            shouldShare = shouldShare || !entry.has(flow_flags::reset);
            entry.state = flow_state::Closed;
            entry.flags |= flow_flags::reset;
        } else if ((flags & tcp_flags::fin) != 0 || (entry.has(flow_flags::reset) && age >= reopenAfterResetDelay)) {
            bool const fin = (flags & tcp_flags::fin) != 0;
            shouldShare = shouldShare || entry.state != flow_state::Closed || !fin;
            entry.state = fin ? flow_state::Closed : flow_state::Established;
            entry.flags &= static_cast<uint8_t>(~flow_flags::reset);
        } else if (entry.state == flow_state::Handshaking) {
            shouldShare = true;
            entry.state = flow_state::Established;
            entry.flags |= flow_flags::resharePending;
        } else if (entry.has(flow_flags::resharePending) && age >= reshareDelay) {
            shouldShare = true;
            entry.flags &= static_cast<uint8_t>(~flow_flags::resharePending);
        }
    }
    if (shouldShare)
        entry.lastSeen = context.tick;
    return shouldShare;
}

} // namespace bilberryyard
