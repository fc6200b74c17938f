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
    auto worker = control_worker::create(settings, metrics);
    if (!worker.ok())
        return worker.status();
    return std::unique_ptr<control_role>(new control_role(*std::move(worker)));
}

control_role::control_role(std::unique_ptr<control_worker> worker)
    : m_worker(std::move(worker))
    , m_backend(*m_worker)
    , m_api(m_backend, [] { return std::chrono::system_clock::now(); })
{
}

void control_role::leave()
{
    auto const isStillLeader = std::make_shared<std::atomic<bool>>(true);
    m_worker->post([](control_worker& worker) { worker.transferLeadership(); });
    auto const deadline = std::chrono::steady_clock::now() + leaveTimeout;
    while (isStillLeader->load() && std::chrono::steady_clock::now() < deadline) {
        m_worker->post([isStillLeader](control_worker& worker) { isStillLeader->store(worker.isLeader()); });
        std::this_thread::sleep_for(pollInterval);
    }
}

} // namespace bilberryyard
