#pragma once

#include "balancer_backend_adapter.h"
#include "configuration_worker.h"
#include "coordination_worker.h"
#include "packet_worker.h"
#include <Configuration/daemon_settings.h>
#include <Kernel/metrics_registry.h>
#include <OperatorInterface/health_api.h>
#include <absl/status/statusor.h>
#include <memory>

namespace bilberryyard {

/// The balancer role of an entry host: its packet, coordination and configuration threads.
class balancer_role {
public:
    /// Opens the sockets and starts the threads.
    /// @param settings Must contain the balancer role.
    /// @param metrics Must outlive the role.
    /// @return The running role; the error of a socket that cannot be opened.
    static absl::StatusOr<std::unique_ptr<balancer_role>> create(
        daemon_settings const& settings, metrics_registry& metrics);

    void registerAt(http_router& router) { m_api->registerAt(router); }

    /// @return Ready while the platform should send packets to this host.
    readiness readinessNow() const;

    /// Prepares the host for a graceful stop: readinessNow() returns Stopping, the witness roles are transferred to
    /// other hosts, and packets are forwarded until the fabric has detected the failing readiness probe. Blocks the
    /// caller until then, for at most a minute.
    void leave();

private:
    balancer_role() = default;

    std::unique_ptr<packet_worker> m_packets;
    std::unique_ptr<coordination_worker> m_coordination;
    std::unique_ptr<configuration_worker> m_configuration;
    std::unique_ptr<balancer_backend_adapter> m_backend;
    std::unique_ptr<balancer_api<balancer_backend_adapter>> m_api;
};

} // namespace bilberryyard
