#pragma once

#include "control_backend.h"
#include "control_worker.h"
#include <Configuration/daemon_settings.h>
#include <Kernel/metrics_registry.h>
#include <OperatorInterface/operator_api.h>
#include <absl/status/statusor.h>
#include <memory>

namespace bilberryyard {

/// The control role: a member of the replicated log with its operator interface.
class control_role {
public:
    /// @param settings Must contain the control role.
    /// @param metrics Must outlive the role.
    /// @return The running role; the error of the storage or of a socket.
    static absl::StatusOr<std::unique_ptr<control_role>> create(
        daemon_settings const& settings, metrics_registry& metrics);

    void registerAt(http_router& router) { m_api.registerAt(router); }

    /// Prepares a graceful stop: transfers leadership to another member, if this host is the leader. Blocks the caller
    /// for at most a second.
    void leave();

private:
    explicit control_role(std::unique_ptr<control_worker> worker);

    std::unique_ptr<control_worker> m_worker;
    control_backend m_backend;
    operator_api<control_backend> m_api;
};

} // namespace bilberryyard
