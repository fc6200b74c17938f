#pragma once

#include "routing_fixture.h"
#include <Routing/flow_explanation.h>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>

namespace bilberryyard::test {

/// Numbers of violations in a run; all of them must be zero.
struct network_findings {
    /// Packets delivered to a server of another service (P2).
    int wrongService = 0;
    /// Flows of which a segment reached another server than the one that accepted the flow, or that were reset
    /// although their server is up (P1, P5).
    int brokenFlows = 0;
    /// SYNs that reached another server than an earlier SYN of the same flow that got a reply.
    int movedDuplicates = 0;
    /// New flows on a server that has been leaving for 3 s (P6).
    int lateArrivals = 0;
    /// Flows that were never established.
    int neverEstablished = 0;
    /// Batches that a filling witness refused.
    int failedTransfers = 0;
    int total() const
    {
        return failedTransfers + wrongService + brokenFlows + movedDuplicates + lateArrivals + neverEstablished;
    }
};

inline std::ostream& operator<<(std::ostream& stream, network_findings const& found)
{
    return stream << "wrong service " << found.wrongService << ", broken " << found.brokenFlows << ", moved duplicates "
                  << found.movedDuplicates << ", late arrivals " << found.lateArrivals << ", never established "
                  << found.neverEstablished;
}

/// Simulates several routers, callers and servers. Every packet goes to a random host and one in ten is duplicated,
/// relays take 0.1 to 5 ms and can be reordered, and updates reach the hosts at different times.
template <typename Router>
class fake_network {
public:
    static constexpr uint32_t hostCount = 4;
    static constexpr auto step = 20ms;

    struct options {
        uint64_t seed = 1;
        /// Skips the first phase of each change.
        bool singlePhase = false;
        /// The routers' peer leases never expire.
        bool endlessLease = false;
        /// A filling witness becomes complete without a transfer of the older entries.
        bool skipTransfer = false;
        /// A restarted host keeps its incarnation and thereby its witness roles.
        bool sameIncarnation = false;
        /// One relay in 50 is lost and one in four takes up to 300 ms.
        bool lossyRelays = false;
        uint8_t witnesses = 2;
        std::function<Router()> makeRouter = [] { return Router(); };
    };

    explicit fake_network(options const& chosen)
        : m_options(chosen)
        , m_random(chosen.seed)
        , m_table(tcpService, bucketCount)
    {
        table_delta delta { tcpService, 1, {} };
        for (uint32_t index = 0; index < bucketCount; ++index)
            delta.changes.push_back(
                { server(index % 4 + 1), server(index % 4 + 1), bucket_phase::Stable, {}, { 1, host(1) }, { index } });
        m_table = m_table.withDelta(delta);
        for (uint32_t id = 1; id <= hostCount; ++id)
            start(id);
        schedule(step, [this] { planStep(); });
    }

    /// Opens flows at a constant rate. Each sends a segment every 300 ms on average until the end of the run.
    void openFlows(std::chrono::milliseconds from, std::chrono::milliseconds until, uint32_t count)
    {
        for (uint32_t flow = 0; flow < count; ++flow) {
            auto const flowIndex = m_flowCount++;
            schedule(from + (until - from) * flow / count, [this, flowIndex] { sendSyn(flowIndex, 0); });
        }
    }

    void when(std::chrono::milliseconds time, std::function<void()> action) { schedule(time, std::move(action)); }

    /// Changes the current server of buckets, in two phases.
    void move(std::vector<uint32_t> const& buckets, uint32_t target)
    {
        for (auto const index : buckets)
            m_targets[index] = server(target);
    }

    /// Drains a server: it accepts no new flows, and its buckets move to other servers.
    void drain(uint32_t id)
    {
        m_drainedAt[id] = m_now;
        m_conditions[id] = server_condition::Closed;
        moveAway(id);
        publishAll();
    }

    /// Stops a server. It becomes unresponsive at once and dead when its lease of 3 s expires (docs/design.md
    /// section 3.5).
    void failServer(uint32_t id)
    {
        m_failed.insert(id);
        schedule(m_now + 3s, [this, id] {
            m_conditions[id] = server_condition::Dead;
            moveAway(id);
            publishAll();
        });
    }

    /// Stops a host. The other hosts and the planner detect this 1.6 to 2 s later.
    void kill(uint32_t id)
    {
        m_hosts[id].alive = false;
        schedule(m_now + 1'600ms + random(400ms), [this, id] {
            m_members.erase(id);
            publishAll();
        });
    }

    /// Restarts a host without its state, as a new incarnation.
    void restart(uint32_t id)
    {
        m_incarnations[id] += m_options.sameIncarnation ? 0 : 1;
        start(id);
        publishAll();
    }

    /// Suspends a host until the given time. Then it handles all waiting packets at once, and the updates after them.
    void suspend(uint32_t id, std::chrono::milliseconds until)
    {
        m_hosts[id].suspendedUntil = until;
        schedule(m_now + 1'800ms, [this, id] {
            m_members.erase(id);
            publishAll();
        });
        schedule(until + 100ms, [this, id] {
            m_members.insert(id);
            publishAll();
        });
    }

    network_findings run(std::chrono::milliseconds until)
    {
        while (!m_events.empty() && m_events.top().time <= until) {
            auto const event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.action();
        }
        for (auto const& [flowIndex, flow] : m_flows)
            m_findings.neverEstablished += flow.server == noServer && !flow.refused ? 1 : 0;
        return m_findings;
    }

    Router& router(uint32_t id) { return *m_hosts[id].router; }
    uint64_t relays() const { return m_relays; }

private:
    struct network_event {
        std::chrono::nanoseconds time;
        uint64_t sequence;
        std::function<void()> action;
        bool operator<(network_event const& other) const
        {
            return std::tie(time, sequence) > std::tie(other.time, other.sequence);
        }
    };

    struct network_host {
        std::unique_ptr<Router> router;
        bool alive = false;
        std::chrono::nanoseconds suspendedUntil { 0 };
        uint64_t version = 0;
        std::chrono::nanoseconds lastUpdate { 0 };
    };

    struct network_flow {
        server_id server = noServer;
        std::set<server_id> repliedServers;
        bool payloadDelivered = false;
        bool broken = false;
        bool refused = false;
    };

    void schedule(std::chrono::nanoseconds time, std::function<void()> action)
    {
        m_events.push({ time, m_eventCount++, std::move(action) });
    }

    std::chrono::nanoseconds random(std::chrono::nanoseconds bound)
    {
        return std::chrono::nanoseconds(m_random() % static_cast<uint64_t>(bound.count()));
    }

    void start(uint32_t id)
    {
        auto& started = m_hosts[id];
        started = { std::make_unique<Router>(m_options.makeRouter()), true, 0ns, 0, 0ns };
        m_members.insert(id);
        m_incarnations.try_emplace(id, 1);
        // A host that starts later has no table yet and relays all packets until it receives one.
        routing_view initialView = makeHostView(id);
        if (m_now > 0ns) {
            initialView.tables.clear();
            initialView.state = synchronisation::Unsynchronised;
        } else {
            started.version = m_table.version();
        }
        started.router->setView(std::make_shared<routing_view const>(initialView));
    }

    routing_view makeHostView(uint32_t id) const
    {
        auto view = makeView(id);
        view.self.incarnation = m_incarnations.at(id);
        view.peers.clear();
        for (auto const member : m_members) {
            if (member != id)
                view.peers.push_back({ host(member), m_incarnations.at(member) });
        }
        for (auto const& [server, condition] : m_conditions)
            view.servers[test::server(server)].condition = condition;
        view.tables[tcpService] = std::make_shared<bucket_table const>(m_table);
        view.synchronisedUntil
            = m_options.endlessLease ? monotonic_time::max() : monotonic_time { m_now + 1h + 1'500ms };
        return view;
    }

    void publishAll()
    {
        for (auto const id : m_members)
            publish(id);
    }

    // Updates to the same host arrive in order; those to different hosts can overtake each other.
    void publish(uint32_t id)
    {
        auto& target = m_hosts[id];
        auto const view = std::make_shared<routing_view const>(makeHostView(id));
        target.lastUpdate = std::max(target.lastUpdate, m_now + 1ms + random(300ms)) + 1ns;
        schedule(target.lastUpdate, [this, id, view] { applyView(id, view); });
    }

    void applyView(uint32_t id, std::shared_ptr<routing_view const> const& view)
    {
        auto& target = m_hosts[id];
        if (!target.alive || view->self.incarnation != m_incarnations[id])
            return;
        if (m_now < target.suspendedUntil)
            return schedule(target.suspendedUntil + 50ms, [this, id, view] { applyView(id, view); });
        target.router->setView(view);
        target.version = view->tables.at(tcpService)->version();
    }

    bool allHostsHave(uint64_t version) const
    {
        return std::all_of(m_members.begin(), m_members.end(),
            [&](uint32_t id) { return !m_hosts.at(id).alive || m_hosts.at(id).version >= version; });
    }

    void moveAway(uint32_t id)
    {
        for (uint32_t index = 0; index < bucketCount; ++index) {
            auto const target = m_targets.contains(index) ? m_targets[index] : m_table.at(index).current;
            if (target == server(id))
                m_targets[index] = server((id + index / 4) % 4 + 1 == id ? 5 : (id + index / 4) % 4 + 1);
        }
    }

    witness_set witnessesFor(uint32_t index) const
    {
        witness_group group;
        std::vector<uint32_t> const members(m_members.begin(), m_members.end());
        for (uint8_t count = 0; count < std::min<size_t>(m_options.witnesses, members.size()); ++count) {
            auto const id = members[(index + count) % members.size()];
            group.witnesses[group.count++] = { host(id), m_incarnations.at(id), witness_state::Complete };
        }
        return makeSet({ group });
    }

    // A minimal planner: changes buckets in two phases, repairs witness groups and renews leases.
    void planStep()
    {
        table_delta delta { tcpService, m_table.version() + 1, {} };
        table_stamp const stamp { delta.version, host(1) };
        for (auto const& [index, target] : m_targets) {
            auto const& value = m_table.at(index);
            if (value.current == target)
                continue;
            if (value.phase == bucket_phase::Stable) {
                m_trackedVersion[index] = delta.version;
                auto const current = m_options.singlePhase ? target : value.current;
                delta.changes.push_back(
                    { current, value.base, bucket_phase::Tracked, witnessesFor(index), stamp, { index } });
            } else if (allHostsHave(m_trackedVersion[index])) {
                delta.changes.push_back(
                    { target, value.base, value.phase, m_table.witnessesOf(value), stamp, { index } });
            }
        }
        for (uint32_t index = 0; delta.changes.empty() && index < bucketCount; ++index)
            repair(index, delta, stamp);
        if (!delta.changes.empty()) {
            m_table = m_table.withDelta(delta);
            publishAll();
        } else if (m_now % 500ms < step) {
            publishAll();
        }
        if constexpr (requires(Router router) { router.expire(monotonic_time {}, 1); }) {
            for (auto& [id, member] : m_hosts) {
                if (member.alive && m_now >= member.suspendedUntil)
                    member.router->expire(time(), 100);
            }
        }
        schedule(m_now + step, [this] { planStep(); });
    }

    void repair(uint32_t index, table_delta& delta, table_stamp const& stamp)
    {
        auto const& value = m_table.at(index);
        if (value.phase != bucket_phase::Tracked)
            return;
        auto group = m_table.witnessesOf(value).groups[0];
        auto const isLiveMember = [&](witness const& member) {
            return m_members.contains(member.host.value) && m_incarnations[member.host.value] == member.incarnation;
        };
        auto* const end = group.witnesses.begin() + group.count;
        auto* const kept = std::stable_partition(group.witnesses.begin(), end, isLiveMember);
        auto const survivors = static_cast<uint8_t>(kept - group.witnesses.begin());
        if (survivors == 0) {
            delta.changes.push_back({ value.current, value.base, value.phase, witnessesFor(index), stamp, { index } });
            return;
        }
        if (survivors < group.count) {
            group.count = survivors;
            std::fill(group.witnesses.begin() + survivors, group.witnesses.end(), witness {});
            for (auto const id : m_members) {
                if (group.count < 2 && host(id) != group.witnesses[0].host)
                    group.witnesses[group.count++] = { host(id), m_incarnations[id], witness_state::Filling };
            }
            m_fillingVersion[index] = delta.version;
        } else if (group.count == 2 && group.witnesses[1].state == witness_state::Filling
            && allHostsHave(m_fillingVersion[index])) {
            if (!m_options.skipTransfer)
                transfer(group, index);
            group.witnesses[1].state = witness_state::Complete;
        } else {
            return;
        }
        delta.changes.push_back({ value.current, value.base, value.phase, makeSet({ group }), stamp, { index } });
    }

    void transfer(witness_group const& group, uint32_t index)
    {
        if constexpr (requires(Router router) { router.expire(monotonic_time {}, 1); }) {
            transfer_cursor cursor;
            for (bool done = false; !done;) {
                auto const batch
                    = router(group.witnesses[0].host.value).exportFlows(tcpService, std::span(&index, 1), cursor, 10);
                auto const added = router(group.witnesses[1].host.value).importFlows(tcpService, batch.flows, time());
                m_findings.failedTransfers += added.ok() ? 0 : 1;
                cursor = batch.next;
                done = batch.done;
            }
        }
    }

    monotonic_time time() const { return monotonic_time { m_now + 1h }; }

    void sendToRandomHosts(uint32_t flowIndex, parsed_packet const& packet)
    {
        auto const copies = m_random() % 10 == 0 ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            // The fabric and the planner stop using a host at the same time.
            auto const id = *std::next(m_members.begin(), static_cast<ptrdiff_t>(m_random() % m_members.size()));
            schedule(m_now + 1ms + random(5ms) + random(1s) * copy,
                [this, id, flowIndex, packet] { receive(id, flowIndex, packet, std::nullopt); });
        }
    }

    void receive(uint32_t id, uint32_t flowIndex, parsed_packet const& packet, packet_origin const& origin)
    {
        auto& receiver = m_hosts[id];
        if (!receiver.alive)
            return;
        if (m_now < receiver.suspendedUntil)
            return schedule(receiver.suspendedUntil,
                [this, id, flowIndex, packet, origin] { receive(id, flowIndex, packet, origin); });
        auto const action = receiver.router->route(packet, origin, time());
        if (auto const* forward = std::get_if<forward_to_server>(&action))
            return deliver(flowIndex, packet, *forward);
        if (auto const* relay = std::get_if<relay_to_host>(&action)) {
            ++m_relays;
            if (m_options.lossyRelays && m_random() % 50 == 0)
                return;
            auto const next = relay->host.value;
            auto const header = relay->header;
            return schedule(m_now + 100us + random(m_options.lossyRelays && m_random() % 4 == 0 ? 300ms : 5ms),
                [this, next, flowIndex, packet, header] { receive(next, flowIndex, packet, header); });
        }
        if (std::holds_alternative<reject_packet>(action))
            rejected(flowIndex, packet);
    }

    void rejected(uint32_t flowIndex, parsed_packet const& packet)
    {
        auto& flow = m_flows[flowIndex];
        flow.refused = flow.refused || packet.kind == packet_kind::TcpSyn;
        if (flow.server != noServer && !m_failed.contains(flow.server.value))
            markBroken(flow);
    }

    void markBroken(network_flow& flow)
    {
        m_findings.brokenFlows += flow.broken ? 0 : 1;
        flow.broken = true;
    }

    void deliver(uint32_t flowIndex, parsed_packet const& packet, forward_to_server const& forward)
    {
        auto& flow = m_flows[flowIndex];
        m_findings.wrongService += forward.service == tcpService ? 0 : 1;
        if (packet.kind != packet_kind::TcpSyn) {
            if (forward.server != flow.server)
                return markBroken(flow);
            flow.payloadDelivered = flow.payloadDelivered || packet.payloadLength > 0;
            return;
        }
        auto const drained = m_drainedAt.find(forward.server.value);
        if (drained != m_drainedAt.end() && m_now > drained->second + 3s && flow.repliedServers.empty())
            ++m_findings.lateArrivals;
        if (!flow.repliedServers.empty() && !flow.repliedServers.contains(forward.server))
            ++m_findings.movedDuplicates;
        if (m_failed.contains(forward.server.value))
            return;
        flow.repliedServers.insert(forward.server);
        schedule(m_now + 2ms + random(4ms), [this, flowIndex, chosen = forward.server] {
            auto& repliedFlow = m_flows[flowIndex];
            if (repliedFlow.server != noServer)
                return;
            repliedFlow.server = chosen;
            sendSegments(flowIndex);
        });
    }

    void sendSyn(uint32_t flowIndex, int attempt)
    {
        if (m_flows[flowIndex].server != noServer || m_flows[flowIndex].refused)
            return;
        sendToRandomHosts(flowIndex, makeSyn(flowIndex));
        schedule(m_now + 1s * (1 << attempt), [this, flowIndex, attempt] { sendSyn(flowIndex, attempt + 1); });
    }

    void sendSegments(uint32_t flowIndex)
    {
        sendToRandomHosts(flowIndex, makeSegment(flowIndex));
        schedule(m_now + random(600ms), [this, flowIndex] { sendSegments(flowIndex); });
    }

    options m_options;
    std::mt19937_64 m_random;
    bucket_table m_table;
    std::chrono::nanoseconds m_now { 0 };
    uint64_t m_eventCount = 0;
    std::priority_queue<network_event> m_events;
    std::map<uint32_t, network_host> m_hosts;
    std::set<uint32_t> m_members;
    std::map<uint32_t, uint32_t> m_incarnations;
    std::map<uint32_t, server_condition> m_conditions;
    std::set<uint32_t> m_failed;
    std::map<uint32_t, std::chrono::nanoseconds> m_drainedAt;
    std::map<uint32_t, server_id> m_targets;
    std::map<uint32_t, uint64_t> m_trackedVersion;
    std::map<uint32_t, uint64_t> m_fillingVersion;
    std::map<uint32_t, network_flow> m_flows;
    uint32_t m_flowCount = 0;
    uint64_t m_relays = 0;
    network_findings m_findings;
};

} // namespace bilberryyard::test
