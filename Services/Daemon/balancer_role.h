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

/// The role balancer: packet, coordination and configuration threads of an entry host.
class balancer_role {
public:
    /// @param settings Settings with the role balancer.
    /// @param metrics Receives metrics; must outlive the role.
    /// @return The running role, or why a socket cannot be opened.
    static absl::StatusOr<std::unique_ptr<balancer_role>> create(
        daemon_settings const& settings, metrics_registry& metrics);

    /// Adds the HTTP handlers.
    void registerAt(http_router& router) { m_api->registerAt(router); }

    /// @return Whether the platform should send packets to this host.
    readiness readinessNow() const;

    /// Stops gracefully: readiness fails, witness roles are handed over, and packets are forwarded until the
    /// fabric has had time to notice.
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
