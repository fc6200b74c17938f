#pragma once

#include "control_backend.h"
#include "control_worker.h"
#include <Configuration/daemon_settings.h>
#include <Kernel/metrics_registry.h>
#include <OperatorInterface/operator_api.h>
#include <absl/status/statusor.h>
#include <memory>

namespace bilberryyard {

/// The role control: a member of the replicated log with its operator interface.
class control_role {
public:
    /// @param settings Settings with the role control.
    /// @param metrics Receives metrics; must outlive the role.
    /// @return The running role, or why it cannot start.
    static absl::StatusOr<std::unique_ptr<control_role>> create(
        daemon_settings const& settings, metrics_registry& metrics);

    /// Adds the HTTP handlers.
    void registerAt(http_router& router) { m_api.registerAt(router); }

    /// Stops gracefully: hands leadership to another member.
    void leave();

private:
    explicit control_role(std::unique_ptr<control_worker> duty);

    std::unique_ptr<control_worker> m_duty;
    control_backend m_backend;
    operator_api<control_backend> m_api;
};

} // namespace bilberryyard
