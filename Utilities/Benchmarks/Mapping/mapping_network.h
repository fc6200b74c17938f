#pragma once

#include "scripted_planner.h"
#include <CoordinationCodec/table_codec.h>
#include <Routing/flow_explanation.h>
#include <Routing/forwarding_action.h>
#include <algorithm>
#include <allocation_counter.h>
#include <chrono>
#include <map>
#include <memory>
#include <processor_time.h>
#include <random>
#include <vector>

namespace bilberryyard {

/// Size and seed of the trace.
struct mapping_trace {
    uint64_t seed = 1;
    uint32_t openFlows = 300'000;
    uint32_t newFlowsPerSecond = 5'000;
    uint32_t segmentsPerSecond = 100'000;
    uint32_t hosts = 5;
};

/// Measurements of one scenario with one router.
struct mapping_result {
    uint64_t packets = 0;
    uint64_t relays = 0;
    uint64_t brokenFlows = 0;
    uint64_t wrongServiceFlows = 0;
    uint64_t resentSyns = 0;
    uint64_t delivered = 0;
    /// Flows whose last segment reached no server.
    uint64_t stalledFlows = 0;
    double imbalance = 0;
    /// Number of decisions whose time was measured, and their processor time in seconds.
    uint64_t timedDecisions = 0;
    double decisionSeconds = 0;
    /// Bytes that all routers have allocated for flows.
    int64_t flowBytes = 0;
    /// Encoded bytes of table deltas sent to all hosts, and number of flow entries copied between hosts; 0 for routers
    /// without tables.
    uint64_t tableBytes = 0;
    uint64_t copiedFlows = 0;
};

/// Runs one router on the seeded trace. The fabric sends every packet to a random balancer, and view updates reach each
/// host after a different random delay of 5 to 300 ms.
template <typename Router>
class mapping_network {
public:
    using milliseconds = std::chrono::milliseconds;

    /// @param planner The planner in its initial state.
    mapping_network(mapping_trace const& trace, scripted_planner planner)
        : m_trace(trace)
        , m_random(trace.seed)
        , m_delayRandom(trace.seed + 1)
        , m_planner(std::move(planner))
        , m_hosts(trace.hosts + 1)
    {
        for (auto const& [host, incarnation] : m_planner.hosts()) {
            m_hosts[host.value].router = std::make_unique<Router>();
            apply(host, std::make_shared<routing_view const>(m_planner.viewOf(host)));
            m_fabric.push_back(host);
        }
        for (uint32_t flow = 0; flow < trace.openFlows; ++flow)
            openFlow(flow);
    }

    scripted_planner& planner() { return m_planner; }

    /// Sends the planner's current view to every host.
    void publish()
    {
        for (auto const& [host, incarnation] : m_planner.hosts()) {
            auto& target = m_hosts[host.value];
            target.lastUpdate = std::max(target.lastUpdate, m_now + milliseconds(5 + m_delayRandom() % 295));
            m_updates.emplace(
                target.lastUpdate, std::pair { host, std::make_shared<routing_view const>(m_planner.viewOf(host)) });
        }
    }

    /// Stops a balancer; the fabric and the planner detect the failure 2 s later.
    void kill(host_id host)
    {
        m_hosts[host.value].router.reset();
        m_failureDetections.emplace(m_now + milliseconds(2'000), host);
    }

    /// Restarts a balancer without state under a new incarnation; the fabric keeps sending it packets.
    void restart(host_id host)
    {
        m_planner.addHost(host);
        auto& target = m_hosts[host.value];
        target = {};
        target.router = std::make_unique<Router>();
        auto blank = std::make_shared<routing_view>(m_planner.viewOf(host));
        blank->state = synchronisation::Unsynchronised;
        apply(host, blank);
        target.versions.clear();
        publish();
    }

    /// Sends segments, closes flows and opens new ones for a period of simulated time.
    void run(milliseconds period)
    {
        auto const perSecond = m_trace.newFlowsPerSecond + m_trace.segmentsPerSecond;
        auto const packetInterval = std::chrono::nanoseconds(std::chrono::seconds(1)) / perSecond;
        auto nextStep = m_now;
        for (auto const end = m_now + period; m_now < end; m_now += packetInterval) {
            applyUpdates();
            if (m_now >= nextStep) {
                stepPlanner();
                nextStep = m_now + milliseconds(20);
            }
            auto const flow = static_cast<uint32_t>(m_random() % m_trace.openFlows);
            if (m_random() % perSecond < m_trace.newFlowsPerSecond) {
                send(flow, packet_kind::TcpSegment, tcp_flags::fin | tcp_flags::ack);
                openFlow(flow);
            } else {
                send(flow, packet_kind::TcpSegment, tcp_flags::ack | tcp_flags::psh);
            }
        }
    }

    /// Sends one more segment of every flow and counts the flows whose segment reaches no server.
    void checkAllFlows()
    {
        for (uint32_t flow = 0; flow < m_trace.openFlows; ++flow) {
            auto const before = m_result.delivered;
            send(flow, packet_kind::TcpSegment, tcp_flags::ack | tcp_flags::psh);
            m_result.stalledFlows += m_result.delivered == before ? 1 : 0;
        }
    }

    /// @return The measurements so far, with the imbalance over the servers of the first service that accept new flows.
    mapping_result result() const
    {
        auto result = m_result;
        std::map<server_id, uint64_t> flowCounts;
        for (auto const server : m_planner.serversOf({ 1 }))
            flowCounts[server] = 0;
        uint64_t total = 0;
        for (auto const& flow : m_flows) {
            auto const found = flowCounts.find(flow.server);
            if (found == flowCounts.end())
                continue;
            ++found->second;
            ++total;
        }
        for (auto const& [server, count] : flowCounts)
            result.imbalance = std::max(result.imbalance,
                static_cast<double>(count) * static_cast<double>(flowCounts.size()) / static_cast<double>(total));
        return result;
    }

private:
    struct network_host {
        std::unique_ptr<Router> router;
        monotonic_time lastUpdate;
        std::map<service_id, uint64_t> versions;
    };

    struct open_flow {
        flow_key key;
        service_id service;
        server_id server = noServer;
        bool broken = false;
        bool misdelivered = false;
    };

    void openFlow(uint32_t flow)
    {
        m_flows.resize(std::max<size_t>(m_flows.size(), flow + 1));
        auto const number = m_opened++;
        // A tenth of the flows belong to the second service.
        service_id const service { number % 10 == 0 ? 2U : 1U };
        m_flows[flow] = { { ip_address::fromIpv4(0x0A000000U + number / 60'000), benchmarkAddress(service),
                              static_cast<uint16_t>(1'024 + number % 60'000), 80 },
            service };
        send(flow, packet_kind::TcpSyn, tcp_flags::syn);
        send(flow, packet_kind::TcpSegment, tcp_flags::ack);
    }

    void send(uint32_t number, packet_kind kind, uint8_t flags)
    {
        auto& flow = m_flows[number];
        ++m_result.packets;
        // A caller that received no SYN-ACK retransmits its SYN.
        if (flow.server == noServer && kind != packet_kind::TcpSyn) {
            ++m_result.resentSyns;
            kind = packet_kind::TcpSyn;
            flags = tcp_flags::syn;
        }
        parsed_packet packet { flow.key, kind, flags, 1, 1, (flags & tcp_flags::psh) != 0 ? 100U : 0U };
        if constexpr (requires { Router::tokenOf(noServer); }) {
            if (flow.server != noServer && kind != packet_kind::TcpSyn)
                packet.token = Router::tokenOf(flow.server);
            // This router treats repeated data as a sign that the server is unresponsive.
            packet.tcpSequence = packet.tcpAcknowledgement = static_cast<uint32_t>(m_result.packets);
        }
        packet_origin origin;
        auto host = m_fabric[m_random() % m_fabric.size()];
        while (auto* router = m_hosts[host.value].router.get()) {
            auto const action = decide(*router, packet, origin);
            auto const* relay = std::get_if<relay_to_host>(&action);
            if (!relay)
                return recordDelivery(flow, kind, action);
            ++m_result.relays;
            host = relay->host;
            origin = relay->header;
        }
    }

    forwarding_action decide(Router& router, parsed_packet const& packet, packet_origin const& origin)
    {
        // Reading the processor time takes longer than a decision, so only one decision in 16 is timed, by repeating
        // it.
        constexpr uint64_t sampleInterval = 16;
        auto const before = static_cast<int64_t>(allocation_counter::allocatedBytes());
        auto const action = router.route(packet, origin, m_now);
        m_result.flowBytes += static_cast<int64_t>(allocation_counter::allocatedBytes()) - before;
        if (m_result.packets % sampleInterval == 0 && packet.kind == packet_kind::TcpSegment)
            timeDecisions(router, packet, origin);
        return action;
    }

    void timeDecisions(Router& router, parsed_packet const& packet, packet_origin const& origin)
    {
        constexpr uint64_t repetitions = 8;
        auto const before = static_cast<int64_t>(allocation_counter::allocatedBytes());
        auto const startedAt = processorSeconds();
        for (uint64_t count = 0; count < repetitions; ++count)
            router.route(packet, origin, m_now);
        m_result.decisionSeconds += processorSeconds() - startedAt;
        m_result.timedDecisions += repetitions;
        m_result.flowBytes += static_cast<int64_t>(allocation_counter::allocatedBytes()) - before;
    }

    void recordDelivery(open_flow& flow, packet_kind kind, forwarding_action const& action)
    {
        auto const* forward = std::get_if<forward_to_server>(&action);
        m_result.delivered += forward ? 1 : 0;
        if (forward && kind == packet_kind::TcpSyn && flow.server == noServer) {
            flow.server = forward->server;
            return;
        }
        bool const misdelivered = forward && forward->server.value / 100 != flow.service.value;
        m_result.wrongServiceFlows += misdelivered && !flow.misdelivered ? 1 : 0;
        flow.misdelivered = flow.misdelivered || misdelivered;
        bool const broken = forward ? forward->server != flow.server : std::holds_alternative<reject_packet>(action);
        m_result.brokenFlows += broken && !flow.broken ? 1 : 0;
        flow.broken = flow.broken || broken;
    }

    void apply(host_id host, std::shared_ptr<routing_view const> const& view)
    {
        auto& target = m_hosts[host.value];
        if (!target.router || view->self.incarnation != m_planner.hosts().at(host))
            return;
        target.router->setView(view);
        for (auto const& [service, table] : view->tables)
            target.versions[service] = table->version();
    }

    void applyUpdates()
    {
        while (!m_updates.empty() && m_updates.begin()->first <= m_now) {
            auto const [host, view] = m_updates.begin()->second;
            m_updates.erase(m_updates.begin());
            if (m_planner.hosts().contains(host))
                apply(host, view);
        }
        while (!m_failureDetections.empty() && m_failureDetections.begin()->first <= m_now) {
            auto const host = m_failureDetections.begin()->second;
            m_failureDetections.erase(m_failureDetections.begin());
            m_planner.removeHost(host);
            std::erase(m_fabric, host);
            publish();
        }
    }

    void stepPlanner()
    {
        auto const allHostsHave = [this](service_id service, uint64_t version) {
            return std::all_of(m_planner.hosts().begin(), m_planner.hosts().end(), [&](auto const& member) {
                auto const& host = m_hosts[member.first.value];
                auto const found = host.versions.find(service);
                return !host.router || (found != host.versions.end() && found->second >= version);
            });
        };
        bool const changed = m_planner.step(allHostsHave, [this](auto const& order) { return transfer(order); });
        auto const deltas = m_planner.drainDeltas();
        if (changed)
            publish();
        // The other routers use no tables, only the list of servers.
        if constexpr (requires(Router router) { router.expire(monotonic_time {}, 1); }) {
            for (auto const& delta : deltas)
                m_result.tableBytes += encodeDelta(delta).ByteSizeLong() * m_planner.hosts().size();
            for (auto& host : m_hosts) {
                if (host.router)
                    host.router->expire(m_now, 1'000);
            }
        }
    }

    bool transfer(scripted_planner::transfer_order const& order)
    {
        if constexpr (requires(Router router) { router.expire(monotonic_time {}, 1); }) {
            auto const* from = m_hosts[order.from.value].router.get();
            auto* to = m_hosts[order.to.value].router.get();
            // A failed host does not respond before its failure is detected.
            if (!from || !to)
                return false;
            transfer_cursor cursor;
            for (bool done = false; !done;) {
                auto const batch = from->exportFlows(order.service, std::span(&order.bucket, 1), cursor, 100);
                if (!to->importFlows(order.service, batch.flows, m_now).ok())
                    return false;
                m_result.copiedFlows += batch.flows.size();
                cursor = batch.next;
                done = batch.done;
            }
        }
        return true;
    }

    mapping_trace m_trace;
    std::mt19937_64 m_random;
    /// Separate from m_random, so that all routers process the same trace of packets.
    std::mt19937_64 m_delayRandom;
    scripted_planner m_planner;
    std::vector<network_host> m_hosts;
    std::vector<host_id> m_fabric;
    std::vector<open_flow> m_flows;
    std::multimap<monotonic_time, std::pair<host_id, std::shared_ptr<routing_view const>>> m_updates;
    std::multimap<monotonic_time, host_id> m_failureDetections;
    monotonic_time m_now { std::chrono::hours(1) };
    uint32_t m_opened = 0;
    mapping_result m_result;
};

} // namespace bilberryyard
