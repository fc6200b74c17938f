#pragma once

#include <Base/event_logger.h>
#include <Configuration/daemon_settings.h>
#include <Distribution/configuration_publisher.h>
#include <Kernel/duty_thread.h>
#include <Kernel/metrics_registry.h>
#include <OperatorInterface/http_router.h>
#include <absl/status/statusor.h>
#include <memory>
#include <string>

namespace bilberryyard {

/// The role control: distributes the configuration to balancers.
class control_role {
public:
    /// @param settings Settings with the role control.
    /// @param initialConfiguration File with the configuration of a new deployment.
    /// @param metrics Receives metrics; must outlive the role.
    /// @return The running role, or why it cannot start.
    static absl::StatusOr<std::unique_ptr<control_role>> create(
        daemon_settings const& settings, std::string const& initialConfiguration, metrics_registry& metrics);

    /// Adds the HTTP handlers.
    void registerAt(http_router& router);

private:
    explicit control_role(configuration_publisher publisher);
    void run(std::stop_token const& stopToken);

    configuration_publisher m_publisher;
    std::unique_ptr<duty_thread> m_thread;
};

} // namespace bilberryyard
