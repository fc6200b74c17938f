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

/// The thread that runs the coordinator: peer messages, announcements, tables.
class coordination_worker {
public:
    /// A task on the coordination thread. The coordinator is null before the first configuration.
    using coordinator_task = std::function<void(balancer_coordinator*, monotonic_time)>;
    /// A configuration with the zone that this host is in.
    struct configuration_update {
        coordinated_configuration configuration;
        zone_id zone;
    };

    /// @param settings Settings of the coordinator; its zone is set with the first configuration.
    /// @param deployment Hash of the deployment's name.
    /// @param socket Messages of and to peers.
    /// @param packets The packet thread; must outlive this one.
    /// @param metrics Receives metrics.
    coordination_worker(coordinator_settings const& settings, uint32_t deployment, message_socket socket,
        packet_worker& packets, metrics_registry& metrics);

    bounded_mailbox<coordinator_task>& tasks() { return m_tasks; }
    bounded_ring<std::shared_ptr<configuration_update const>>& configurations() { return m_configurations; }
    /// @return The latest status.
    std::shared_ptr<balancer_status const> status() const { return m_status.get(); }

private:
    void run(std::stop_token const& stopToken);
    void takeConfigurations(monotonic_time now);
    void takeResults(monotonic_time now);
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
    std::optional<monotonic_time> m_statusAt;
    monotonic_time m_steppedAt;
    bool m_hasInput = false;
    std::unique_ptr<worker_thread> m_thread;
};

} // namespace bilberryyard
