#include "control_role.h"

#include <thread>

namespace bilberryyard {

namespace {

    constexpr std::chrono::milliseconds leaveTimeout { 1'000 };
    constexpr std::chrono::milliseconds pollInterval { 20 };

} // namespace

absl::StatusOr<std::unique_ptr<control_role>> control_role::create(
    daemon_settings const& settings, metrics_registry& metrics)
{
    auto duty = control_worker::create(settings, metrics);
    if (!duty.ok())
        return duty.status();
    return std::unique_ptr<control_role>(new control_role(*std::move(duty)));
}

control_role::control_role(std::unique_ptr<control_worker> duty)
    : m_duty(std::move(duty))
    , m_backend(*m_duty)
    , m_api(m_backend, [] { return std::chrono::system_clock::now(); })
{
}

void control_role::leave()
{
    auto const leads = std::make_shared<std::atomic<bool>>(true);
    m_duty->post([](control_worker& duty) { duty.transferLeadership(); });
    auto const deadline = std::chrono::steady_clock::now() + leaveTimeout;
    while (leads->load() && std::chrono::steady_clock::now() < deadline) {
        m_duty->post([leads](control_worker& duty) { leads->store(duty.isLeader()); });
        std::this_thread::sleep_for(pollInterval);
    }
}

} // namespace bilberryyard
