#pragma once

#include <Coordination/balancer_coordinator.h>
#include <Forwarding/handshake_observer.h>
#include <Routing/flow_router.h>
#include <Trace/replay_network.h>
#include <Trace/replay_view.h>
#include <absl/status/statusor.h>
#include <optional>
#include <type_traits>

namespace bilberryyard {

/// One entry host of a replay: the coordinator and the router, joined as the daemon's two threads are.
/// @tparam Router The forwarding policy.
template <packet_router Router>
class replay_balancer {
public:
    /// What the host emits.
    struct outputs {
        std::function<void(trace_host, outgoing_message const&)> message;
        std::function<void(trace_host, relay_to_host const&, parsed_packet const&)> relay;
        std::function<void(trace_host, ip_endpoint const&, parsed_packet const&)> forward;
        std::function<void(parsed_packet const&, rejection_kind)> reject;
    };

    /// @param host The host and its zone.
    /// @param network Shared state.
    /// @param emit Where its output goes; must outlive the host.
    replay_balancer(trace_host host, replay_network& network, outputs const& emit)
        : m_host(host)
        , m_network(network)
        , m_emit(emit)
    {
    }

    trace_host host() const { return m_host; }
    bool isRunning() const { return m_parts.has_value(); }
    bool isActive() const { return isRunning() && !m_suspended; }
    /// @return Whether the platform's readiness check lets the fabric send packets here.
    bool isReady() const
    {
        bool const noticed = m_suspended && m_network.now() - m_suspendedAt >= unansweredChecks;
        return isRunning() && !noticed && !m_leaving;
    }
    uint64_t revision() const { return m_revision; }

    /// Starts the process with the configuration in its file.
    absl::Status start()
    {
        coordinator_settings settings;
        settings.self = { m_host.id, ++m_incarnation };
        settings.zone = m_host.zone;
        for (auto const& entry : m_network.header().entryHosts)
            settings.entryHosts.insert(entry.id);
        settings.hashSeed = m_network.header().hashSeed;
        settings.planner = m_saved.planner;
        if (lacks(replay_mechanism::Witnesses))
            settings.planner.witnessCount = 1;
        if (lacks(replay_mechanism::ServerLease))
            settings.directory.lease = std::chrono::hours(100);
        auto coordinator = balancer_coordinator::create(settings, m_network.now());
        if (!coordinator.ok())
            return coordinator.status();
        m_suspended = m_leaving = false;
        m_view = nullptr;
        m_parts.emplace(*std::move(coordinator));
        return m_parts->coordinator.configure(m_saved, m_network.now());
    }

    void kill()
    {
        m_parts.reset();
        m_inbox.clear();
    }

    void suspend()
    {
        m_suspended = isRunning();
        m_suspendedAt = m_network.now();
    }

    /// Continues; what waited in the sockets is handled first, because the packet thread may run first.
    void resume()
    {
        m_suspended = false;
        for (auto& waiting : std::exchange(m_inbox, {}))
            waiting();
    }

    void leave()
    {
        if (!isRunning())
            return;
        m_leaving = true;
        m_parts->coordinator.leave();
    }

    bool mayStop() const { return isRunning() && m_leaving && m_parts->coordinator.mayLeave(); }

    /// Hands an event to the host, now or when it resumes; lost when the process does not run.
    void deliver(std::function<void()> event)
    {
        if (isActive())
            event();
        else if (isRunning())
            m_inbox.push_back(std::move(event));
    }

    /// Takes a configuration.
    /// @return Whether it is in force now.
    bool configure(uint64_t revision, coordinated_configuration configuration)
    {
        if (revision <= m_revision && !lacks(replay_mechanism::RevisionOrder))
            return true;
        // Without the order of revisions the coordinator must not refuse either.
        configuration.revision = lacks(replay_mechanism::RevisionOrder) ? ++m_forcedRevision : revision;
        if (m_parts && !m_parts->coordinator.configure(configuration, m_network.now()).ok())
            return false;
        if (revision < m_revision)
            ++m_network.outcome().revisionReversals;
        m_revision = revision;
        m_saved = std::move(configuration);
        m_network.outcome().revisions.push_back({ m_network.elapsed(), m_host.id, revision });
        return true;
    }

    absl::Status announce(server_announcement const& announcement)
    {
        return m_parts->coordinator.announce(announcement, m_network.now()).status();
    }

    void receive(coordination_message const& message)
    {
        if (!m_parts->coordinator.receive(message, m_network.now()).ok())
            ++m_network.outcome().refusedInputs;
    }

    /// Does what the daemon's loops do when nothing arrives.
    void step()
    {
        auto const now = m_network.now();
        m_parts->coordinator.step(now);
        for (auto const& message : m_parts->coordinator.drainMessages())
            m_emit.message(m_host, message);
        if (auto view = m_parts->coordinator.pollView()) {
            m_view = withoutMechanisms(view, m_network.options());
            m_parts->router.setView(m_view->routing);
        }
        for (auto const& command : m_parts->coordinator.drainCommands())
            std::visit([&](auto const& value) { execute(value); }, command);
        if constexpr (std::is_same_v<Router, flow_router>)
            m_parts->router.expire(now, expiryStep);
        if (now - m_evidenceAt >= std::chrono::seconds(1)) {
            m_evidenceAt = now;
            if (auto evidence = m_parts->observer.drain(); !evidence.empty())
                m_parts->coordinator.receive(handshake_statistics_result { std::move(evidence) }, now);
        }
    }

    /// Decides about a packet.
    void route(parsed_packet const& packet, packet_origin const& origin)
    {
        if (!m_view)
            return drop();
        auto const action = m_parts->router.route(packet, origin, m_network.now());
        std::visit([&](auto const& chosen) { perform(chosen, packet); }, action);
    }

private:
    // The kernel of a suspended process accepts readiness checks, so that they end by timeout: three of 2 s.
    static constexpr std::chrono::seconds unansweredChecks { 6 };
    // As in the packet thread, which visits fewer entries but is called more often.
    static constexpr size_t expiryStep = 2048;
    static constexpr uint32_t sampleInterval = 16;
    static constexpr size_t watchedFlows = 8192;

    /// What a process loses when it ends.
    struct process_state {
        explicit process_state(balancer_coordinator created)
            : coordinator(std::move(created))
        {
        }

        balancer_coordinator coordinator;
        Router router;
        handshake_observer observer { sampleInterval, watchedFlows };
    };

    bool lacks(replay_mechanism mechanism) const { return m_network.options().lacks(mechanism); }
    void drop() { ++m_network.outcome().droppedPackets; }

    void execute(export_command const& command)
    {
        export_result result { command, { {}, command.cursor, true } };
        if constexpr (std::is_same_v<Router, flow_router>)
            result.batch
                = m_parts->router.exportFlows(command.service, command.buckets, command.cursor, command.maximumFlows);
        m_parts->coordinator.receive(result, m_network.now());
    }

    void execute(import_command const& command)
    {
        if constexpr (std::is_same_v<Router, flow_router>)
            m_parts->router.importFlows(command.service, command.flows, m_network.now()).status().IgnoreError();
    }

    void execute(settle_command const& command)
    {
        settle_result result { command.service, command.stamp, command.buckets };
        if constexpr (std::is_same_v<Router, flow_router>) {
            auto const idle = m_view->routing->flowIdleTimeout;
            std::erase_if(result.buckets, [&](uint32_t index) {
                auto const usage = m_parts->router.usageOf(command.service, index);
                return usage.differing != 0 || (usage.lastBaseUse && m_network.now() - *usage.lastBaseUse < idle);
            });
        }
        m_parts->coordinator.receive(result, m_network.now());
    }

    void perform(forward_to_server const& action, parsed_packet const& packet)
    {
        auto const server = m_view->servers.find(action.server);
        if (server == m_view->servers.end())
            return drop();
        m_parts->observer.forwarded(packet, hashFlow(packet.key, m_network.header().hashSeed), action.server);
        m_emit.forward(m_host, server->second, packet);
    }

    void perform(relay_to_host const& action, parsed_packet const& packet)
    {
        ++m_network.outcome().relays;
        m_emit.relay(m_host, action, packet);
    }

    void perform(reject_packet const& action, parsed_packet const& packet) { m_emit.reject(packet, action.kind); }

    void perform(drop_packet const& action, parsed_packet const& packet)
    {
        if (lacks(replay_mechanism::RefusalRule) && packet.kind == packet_kind::TcpSyn
            && action.reason == drop_reason::NoServer)
            return m_emit.reject(packet, rejection_kind::ConnectionRefused);
        drop();
    }

    trace_host m_host;
    replay_network& m_network;
    outputs const& m_emit;
    std::optional<process_state> m_parts;
    std::vector<std::function<void()>> m_inbox;
    std::shared_ptr<forwarding_view const> m_view;
    /// The configuration file.
    coordinated_configuration m_saved;
    uint64_t m_revision = 0;
    uint64_t m_forcedRevision = 0;
    uint32_t m_incarnation = 0;
    monotonic_time m_evidenceAt;
    bool m_suspended = false;
    monotonic_time m_suspendedAt;
    bool m_leaving = false;
};

} // namespace bilberryyard
