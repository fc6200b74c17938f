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

/// Simulated entry host: connects a coordinator and a router in the way that the daemon's coordination and packet
/// threads do.
/// @tparam Router Forwarding policy, such as flow_router or a baseline.
template <packet_router Router>
class replay_balancer {
public:
    /// Callbacks for the messages and packets that the host sends.
    struct outputs {
        std::function<void(trace_host, outgoing_message const&)> message;
        std::function<void(trace_host, relay_to_host const&, parsed_packet const&)> relay;
        std::function<void(trace_host, ip_endpoint const&, parsed_packet const&)> forward;
        std::function<void(parsed_packet const&, rejection_kind)> reject;
    };

    /// @param network State shared by all hosts of the replay; must outlive the host.
    /// @param emit Callbacks for the host's output; must outlive the host.
    replay_balancer(trace_host host, replay_network& network, outputs const& emit)
        : m_host(host)
        , m_network(network)
        , m_emit(emit)
    {
    }

    trace_host host() const { return m_host; }
    bool isRunning() const { return m_process.has_value(); }
    bool isActive() const { return isRunning() && !m_suspended; }
    /// @return Whether the platform's readiness check lets the fabric send packets here.
    bool isReady() const
    {
        bool const isSuspensionDetected = m_suspended && m_network.now() - m_suspendedAt >= readinessTimeout;
        return isRunning() && !isSuspensionDetected && !m_leaving;
    }
    uint64_t revision() const { return m_revision; }

    /// Starts the process with the configuration that the previous incarnation stored.
    absl::Status start()
    {
        coordinator_settings settings;
        settings.self = { m_host.id, ++m_incarnation };
        settings.zone = m_host.zone;
        for (auto const& entry : m_network.header().entryHosts)
            settings.entryHosts.insert(entry.id);
        settings.hashSeed = m_network.header().hashSeed;
        settings.planner = m_savedConfiguration.planner;
        if (isDisabled(replay_mechanism::Witnesses))
            settings.planner.witnessCount = 1;
        if (isDisabled(replay_mechanism::ServerLease))
            settings.directory.lease = std::chrono::hours(100);
        auto coordinator = balancer_coordinator::create(settings, m_network.now());
        if (!coordinator.ok())
            return coordinator.status();
        m_suspended = m_leaving = false;
        m_view = nullptr;
        m_process.emplace(*std::move(coordinator));
        return m_process->coordinator.configure(m_savedConfiguration, m_network.now());
    }

    void kill()
    {
        m_process.reset();
        m_inbox.clear();
    }

    void suspend()
    {
        m_suspended = isRunning();
        m_suspendedAt = m_network.now();
    }

    /// Resumes the process. The events that queued up in its sockets are handled before the next step, because the
    /// packet thread of a resumed daemon may run before its coordination thread.
    void resume()
    {
        m_suspended = false;
        for (auto& deferredEvent : std::exchange(m_inbox, {}))
            deferredEvent();
    }

    void leave()
    {
        if (!isRunning())
            return;
        m_leaving = true;
        m_process->coordinator.leave();
    }

    bool mayStop() const { return isRunning() && m_leaving && m_process->coordinator.mayLeave(); }

    /// Runs an event on the host: immediately, or on resume if the process is suspended. The event is lost when the
    /// process does not run.
    void deliver(std::function<void()> event)
    {
        if (isActive())
            event();
        else if (isRunning())
            m_inbox.push_back(std::move(event));
    }

    /// Applies a configuration if its revision is newer than the current one.
    /// @return False if the coordinator rejected the configuration.
    bool configure(uint64_t revision, coordinated_configuration configuration)
    {
        if (revision <= m_revision && !isDisabled(replay_mechanism::RevisionOrder))
            return true;
        // With the revision check disabled, the coordinator must not reject an older revision either.
        configuration.revision = isDisabled(replay_mechanism::RevisionOrder) ? ++m_syntheticRevision : revision;
        if (m_process && !m_process->coordinator.configure(configuration, m_network.now()).ok())
            return false;
        if (revision < m_revision)
            ++m_network.outcome().revisionReversals;
        m_revision = revision;
        m_savedConfiguration = std::move(configuration);
        m_network.outcome().revisions.push_back({ m_network.elapsed(), m_host.id, revision });
        return true;
    }

    absl::Status announce(server_announcement const& announcement)
    {
        return m_process->coordinator.announce(announcement, m_network.now()).status();
    }

    void receive(coordination_message const& message)
    {
        if (!m_process->coordinator.receive(message, m_network.now()).ok())
            ++m_network.outcome().refusedInputs;
    }

    /// Performs the periodic work of the daemon's threads.
    void step()
    {
        auto const now = m_network.now();
        m_process->coordinator.step(now);
        for (auto const& message : m_process->coordinator.drainMessages())
            m_emit.message(m_host, message);
        if (auto view = m_process->coordinator.pollView()) {
            m_view = withoutMechanisms(view, m_network.options());
            m_process->router.setView(m_view->routing);
        }
        for (auto const& command : m_process->coordinator.drainCommands())
            std::visit([&](auto const& value) { execute(value); }, command);
        if constexpr (std::is_same_v<Router, flow_router>)
            m_process->router.expire(now, expiryBatch);
        if (now - m_statisticsDrainedAt >= std::chrono::seconds(1)) {
            m_statisticsDrainedAt = now;
            if (auto statistics = m_process->observer.drain(); !statistics.empty())
                m_process->coordinator.receive(handshake_statistics_result { std::move(statistics) }, now);
        }
    }

    /// Routes a packet and performs the resulting action.
    /// @param origin Relay header of a packet from another entry host, or nothing for one from the fabric.
    void route(parsed_packet const& packet, packet_origin const& origin)
    {
        if (!m_view)
            return drop();
        auto const action = m_process->router.route(packet, origin, m_network.now());
        std::visit([&](auto const& chosen) { perform(chosen, packet); }, action);
    }

private:
    // The kernel of a suspended process still accepts the connections of readiness checks, so that the checks only
    // fail by timeout: three checks of 2 s.
    static constexpr std::chrono::seconds readinessTimeout { 6 };
    // Entries per step. The daemon's packet thread visits fewer entries per call but runs more often.
    static constexpr size_t expiryBatch = 2048;
    static constexpr uint32_t sampleInterval = 16;
    static constexpr size_t observedFlowCapacity = 8192;

    /// State in memory, which is lost when the process ends.
    struct process_state {
        explicit process_state(balancer_coordinator created)
            : coordinator(std::move(created))
        {
        }

        balancer_coordinator coordinator;
        Router router;
        handshake_observer observer { sampleInterval, observedFlowCapacity };
    };

    bool isDisabled(replay_mechanism mechanism) const { return m_network.options().isDisabled(mechanism); }
    void drop() { ++m_network.outcome().droppedPackets; }

    void execute(export_command const& command)
    {
        export_result result { command, { {}, command.cursor, true } };
        if constexpr (std::is_same_v<Router, flow_router>)
            result.batch
                = m_process->router.exportFlows(command.service, command.buckets, command.cursor, command.maximumFlows);
        m_process->coordinator.receive(result, m_network.now());
    }

    void execute(import_command const& command)
    {
        if constexpr (std::is_same_v<Router, flow_router>)
            m_process->router.importFlows(command.service, command.flows, m_network.now()).status().IgnoreError();
    }

    void execute(settle_command const& command)
    {
        settle_result result { command.service, command.stamp, command.buckets };
        if constexpr (std::is_same_v<Router, flow_router>) {
            auto const idle = m_view->routing->flowIdleTimeout;
            std::erase_if(result.buckets, [&](uint32_t index) {
                auto const usage = m_process->router.usageOf(command.service, index);
                return usage.differing != 0 || (usage.lastBaseUse && m_network.now() - *usage.lastBaseUse < idle);
            });
        }
        m_process->coordinator.receive(result, m_network.now());
    }

    void perform(forward_to_server const& action, parsed_packet const& packet)
    {
        auto const server = m_view->servers.find(action.server);
        if (server == m_view->servers.end())
            return drop();
        m_process->observer.recordForwarded(packet, hashFlow(packet.key, m_network.header().hashSeed), action.server);
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
        if (isDisabled(replay_mechanism::RefusalRule) && packet.kind == packet_kind::TcpSyn
            && action.reason == drop_reason::NoServer)
            return m_emit.reject(packet, rejection_kind::ConnectionRefused);
        drop();
    }

    trace_host m_host;
    replay_network& m_network;
    outputs const& m_emit;
    std::optional<process_state> m_process;
    std::vector<std::function<void()>> m_inbox;
    std::shared_ptr<forwarding_view const> m_view;
    /// Content of the configuration file, which survives a restart.
    coordinated_configuration m_savedConfiguration;
    uint64_t m_revision = 0;
    uint64_t m_syntheticRevision = 0;
    uint32_t m_incarnation = 0;
    monotonic_time m_statisticsDrainedAt;
    bool m_suspended = false;
    monotonic_time m_suspendedAt;
    bool m_leaving = false;
};

} // namespace bilberryyard
