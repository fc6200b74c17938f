#pragma once

#include "daemon_status.h"
#include "packet_worker.h"
#include <Base/event_logger.h>
#include <Coordination/balancer_coordinator.h>
#include <CoordinationCodec/coordination_codec.h>
#include <Kernel/bounded_mailbox.h>
#include <Kernel/metrics_registry.h>
#include <Kernel/worker_thread.h>
#include <Transport/message_socket.h>
#include <functional>
#include <memory>
#include <optional>

namespace bilberryyard {

/// The thread that owns the coordinator. It exchanges peer messages, applies configurations and passes forwarding views
/// and flow commands to the packet thread.
class coordination_worker {
public:
    /// A task on the coordination thread. The coordinator is null before the first configuration.
    using coordinator_task = std::function<void(balancer_coordinator*, monotonic_time)>;
    /// A configuration and the zone of this host in it.
    struct configuration_update {
        coordinated_configuration configuration;
        zone_id zone;
    };

    /// @param settings Its zone and planner settings are replaced by those of the first configuration.
    /// @param deployment Hash of the deployment's name; messages of other deployments are refused.
    /// @param packets Must outlive this object.
    /// @param metrics Must outlive this object.
    coordination_worker(coordinator_settings const& settings, uint32_t deployment, message_socket socket,
        packet_worker& packets, metrics_registry& metrics);

    bounded_mailbox<coordinator_task>& tasks() { return m_tasks; }
    bounded_ring<std::shared_ptr<configuration_update const>>& configurations() { return m_configurations; }
    /// @return The latest status, published about every 200 ms; never null. Callable from any thread.
    std::shared_ptr<balancer_status const> status() const { return m_status.get(); }

private:
    void run(std::stop_token const& stopToken);
    void applyConfigurations(monotonic_time now);
    void processFlowResults(monotonic_time now);
    void receiveMessages(std::chrono::milliseconds timeout);
    void sendOutput();
    void publishStatus(monotonic_time now);
    void publishMetrics();

    coordinator_settings m_settings;
    coordination_codec m_codec;
    message_socket m_socket;
    packet_worker& m_packets;
    metrics_registry& m_metrics;
    event_logger m_logger { "coordination" };
    std::optional<balancer_coordinator> m_coordinator;
    bounded_mailbox<coordinator_task> m_tasks { 1024 };
    bounded_ring<std::shared_ptr<configuration_update const>> m_configurations { 64 };
    published_value<balancer_status> m_status;
    std::shared_ptr<coordinated_configuration const> m_sharedConfiguration;
    std::shared_ptr<forwarding_view const> m_unsentView;
    std::optional<monotonic_time> m_statusPublishedAt;
    monotonic_time m_lastStepAt;
    bool m_hasInput = false;
    std::unique_ptr<worker_thread> m_thread;
};

} // namespace bilberryyard
