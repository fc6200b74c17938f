#include <Routing/flow_router.h>

#include <Base/hashing.h>

namespace bilberryyard {

namespace {

    // Time after which the change to established is shared a second time.
    constexpr std::chrono::milliseconds shareAgainAfter { 1'000 };
    // A caller that sends more than this after its RST is alive: the RST was forged or out of its window.
    constexpr std::chrono::milliseconds reviveAfter { 1'000 };
    // Buckets that are probed for a server that admits a flow, before all servers are tried.
    constexpr uint64_t probes = 8;

} // namespace

forwarding_action flow_router::routeOpening(request const& asked)
{
    if (decidesAlone(asked.now))
        return openAsPrimary(asked);
    auto const& groups = asked.plan().groups();
    if (groups.empty() || !groups[0].primary)
        return drop_packet { drop_reason::NoPeer };
    auto const number = asked.group();
    if (number > 0 && number < groups.size())
        return answerForGroup(asked, number);
    auto const& group = groups[0];
    if (asked.isDatagram() && group.selfMember) {
        if (auto* entry = const_cast<flow_entry*>(findLive(asked.id, asked.tick)))
            return useDatagramEntry(asked, *entry, 0);
    }
    if (!group.selfPrimary)
        return relay(asked, *group.primary, relay_kind::Lookup, number, noServer);
    return openAsPrimary(asked);
}

// Another primary asks whether this group knows the flow (docs/design.md section 3.3).
forwarding_action flow_router::answerForGroup(request const& asked, uint8_t number)
{
    auto const& groups = asked.plan().groups();
    auto const& group = groups[number];
    if (group.selfMember) {
        auto* entry = const_cast<flow_entry*>(findLive(asked.id, asked.tick));
        if (entry && asked.isDatagram())
            return useDatagramEntry(asked, *entry, number);
        if (entry && entry->state != flow_state::Closed)
            return deliver(asked, entry->server);
    }
    auto const next = asked.plan().nextGroupToAsk(group.selfMember ? number + 1 : number);
    if (next)
        return relay(asked, *groups[*next].primary, relay_kind::Lookup, *next, noServer);
    auto const allAsked = static_cast<uint8_t>(groups.size());
    if (groups[0].selfPrimary)
        return openAsPrimary(asked);
    return relay(asked, *groups[0].primary, relay_kind::Lookup, allAsked, noServer);
}

forwarding_action flow_router::openAsPrimary(request const& asked)
{
    if (auto* entry = const_cast<flow_entry*>(findLive(asked.id, asked.tick)))
        return asked.isDatagram() ? useDatagramEntry(asked, *entry, 0) : openKnown(asked, *entry);
    auto const& plan = asked.plan();
    auto const merged = asked.routes.memoryOf(asked.index).mergedSince;
    // SYNs that the other side of a healed partition recorded can be duplicated for a while; datagrams always.
    bool const askOthers
        = asked.isDatagram() || (merged != monotonic_time::min() && asked.now - merged < m_settings.synGrace);
    if (askOthers && asked.group() == 0) {
        if (auto const next = plan.nextGroupToAsk(1); next && !decidesAlone(asked.now))
            return relay(asked, *plan.groups()[*next].primary, relay_kind::Lookup, *next, noServer);
    }
    return openNew(asked);
}

forwarding_action flow_router::openKnown(request const& asked, flow_entry& entry)
{
    auto const condition = m_admission.conditionOf(entry.server);
    bool const dead = condition == server_condition::Dead;
    auto const age = elapsed(entry.lastSeen, asked.tick);
    if (entry.state == flow_state::Closed) {
        // A server that takes new flows also tells a reused port from a duplicate (RFC 9293 section 3.6.1).
        if (condition != server_condition::Accepting) {
            if (age < m_settings.closedHold)
                return drop_packet { drop_reason::NoServer };
            return openNew(asked);
        }
        entry.state = flow_state::Handshaking;
        entry.flags = flow_flags::ownChoice;
        entry.lastSeen = asked.tick;
        return share(asked, entry.server, 0);
    }
    if (dead && entry.state == flow_state::Handshaking && entry.has(flow_flags::ownChoice))
        return openNew(asked);
    if (dead) {
        // Payload may have reached the server. The flow is over; a retransmission of this SYN opens a new one.
        entry.state = flow_state::Closed;
        entry.flags = 0;
        entry.lastSeen = asked.tick;
        return drop_packet { drop_reason::ServerDead };
    }
    if (mayReassign(asked, entry)) {
        auto const other = otherServer(asked, entry.server);
        if (other && asked.routes.retries().tryAcquire(asked.now)) {
            ++m_counters.reassigned;
            m_flows.setServer(entry, *other);
            entry.flags |= flow_flags::retried;
            m_admission.countAssigned(*other);
        }
    }
    // The next retry counts from the last SYN that was forwarded: the first one may have been lost on the way.
    if (entry.state == flow_state::Handshaking)
        entry.lastSeen = asked.tick;
    return share(asked, entry.server, 0);
}

bool flow_router::mayReassign(request const& asked, flow_entry const& entry) const
{
    // While current equals base some hosts may still take the bucket for stable and ignore entries.
    if (entry.state != flow_state::Handshaking || !entry.has(flow_flags::ownChoice) || entry.has(flow_flags::retried)
        || asked.target().current == asked.target().base)
        return false;
    auto const age = elapsed(entry.lastSeen, asked.tick);
    return age >= m_settings.retryAfter && age < m_settings.retryUntil;
}

forwarding_action flow_router::openNew(request const& asked)
{
    auto const& target = asked.target();
    auto const since = asked.routes.memoryOf(asked.index).trackedSince;
    bool const grace = !asked.isDatagram() && since != monotonic_time::min() && asked.now - since < m_settings.synGrace;
    auto server = chooseServer(asked);
    if (grace && target.base != noServer && m_admission.conditionOf(target.base) != server_condition::Dead)
        server = m_admission.isFull(target.base) ? std::nullopt : std::optional(target.base);
    if (!server) {
        // While hosts may differ, or a duplicate of a flow without an entry may arrive, a rejection could be
        // untrue (P4); the caller retransmits.
        if (asked.isDatagram())
            return reject(rejection_kind::PortUnreachable);
        if (grace || target.current == target.base)
            return drop_packet { drop_reason::NoServer };
        return reject(rejection_kind::ConnectionRefused);
    }
    auto const flags = asked.isDatagram() ? flow_flags::datagram : flow_flags::ownChoice;
    auto const state = asked.isDatagram() ? flow_state::Established : flow_state::Handshaking;
    flow_entry const fresh { asked.id.hash, *server, asked.tick, 0, asked.id.service, state, flags };
    if (!m_flows.put(fresh, asked.tick)) {
        ++m_counters.tableFull;
        return drop_packet { drop_reason::NoServer };
    }
    ++m_counters.newFlows;
    asked.routes.retries().countNewFlow(asked.now);
    m_admission.countAssigned(*server);
    return share(asked, *server, 0);
}

std::optional<server_id> flow_router::chooseServer(request const& asked) const
{
    auto const& target = asked.target();
    if (m_admission.admits(target.current))
        return target.current;
    // While current equals base some hosts may still take the bucket for stable, so that no other server can
    // be chosen; a server that is merely leaving takes the flow until the second phase.
    if (target.current == target.base) {
        bool const usable = m_admission.conditionOf(target.current) == server_condition::Closed
            && !m_admission.isFull(target.current);
        return usable ? std::optional(target.current) : std::nullopt;
    }
    return otherServer(asked, target.current);
}

std::optional<server_id> flow_router::otherServer(request const& asked, server_id excluded) const
{
    // Probing buckets keeps to the weights, which are numbers of buckets.
    auto const& table = *asked.routes.table();
    for (uint64_t attempt = 0; attempt < probes; ++attempt) {
        auto const server = table.at(table.bucketIndex(hashPair(asked.id.hash, attempt))).current;
        if (server != excluded && m_admission.admits(server))
            return server;
    }
    for (auto const server : asked.routes.currentServers()) {
        if (server != excluded && m_admission.admits(server))
            return server;
    }
    return std::nullopt;
}

forwarding_action flow_router::useDatagramEntry(request const& asked, flow_entry& entry, uint8_t group)
{
    ++m_counters.explicitEntry;
    // Not renewed: a caller that keeps sending gets a new server once its flow has been idle for its timeout.
    if (m_admission.conditionOf(entry.server) == server_condition::Dead)
        return reject(rejection_kind::PortUnreachable);
    auto const server = entry.server;
    return noteProgress(asked, entry) ? share(asked, server, group) : deliver(asked, server);
}

// Returns whether the other witnesses must be told. lastSeen only changes then, so that all witnesses keep an
// entry for about the same time although most packets pass one of them.
bool flow_router::noteProgress(request const& asked, flow_entry& entry) const
{
    auto const flags = asked.packet.tcpFlags;
    auto const age = elapsed(entry.lastSeen, asked.tick);
    bool tell = age * 4 > m_timeouts.of(entry);
    if (!asked.isDatagram()) {
        if ((flags & tcp_flags::ack) != 0)
            entry.acknowledgement = asked.packet.tcpAcknowledgement;
        if ((flags & tcp_flags::rst) != 0) {
            tell = tell || !entry.has(flow_flags::reset);
            entry.state = flow_state::Closed;
            entry.flags |= flow_flags::reset;
        } else if ((flags & tcp_flags::fin) != 0 || (entry.has(flow_flags::reset) && age >= reviveAfter)) {
            bool const fin = (flags & tcp_flags::fin) != 0;
            tell = tell || entry.state != flow_state::Closed || !fin;
            entry.state = fin ? flow_state::Closed : flow_state::Established;
            entry.flags &= static_cast<uint8_t>(~flow_flags::reset);
        } else if (entry.state == flow_state::Handshaking) {
            tell = true;
            entry.state = flow_state::Established;
            entry.flags |= flow_flags::shareAgain;
        } else if (entry.has(flow_flags::shareAgain) && age >= shareAgainAfter) {
            tell = true;
            entry.flags &= static_cast<uint8_t>(~flow_flags::shareAgain);
        }
    }
    if (tell)
        entry.lastSeen = asked.tick;
    return tell;
}

} // namespace bilberryyard
