#include "daemon.h"

#include "balancer_role.h"
#include "control_role.h"
#include <Base/error_kind.h>
#include <OperatorInterface/health_api.h>
#include <OperatorInterface/http_server.h>
#include <thread>

namespace bilberryyard {

namespace {

    constexpr std::chrono::milliseconds pollInterval { 20 };

    readiness readinessOf(balancer_role const* balancer)
    {
        // A host with only the control role receives no traffic from the platform, so it is always ready.
        return balancer ? balancer->readinessNow() : readiness::Ready;
    }

} // namespace

struct daemon::state {
    event_logger logger { "daemon" };
    metrics_registry metrics;
    std::unique_ptr<control_role> control;
    std::unique_ptr<balancer_role> balancer;
    std::unique_ptr<health_api> health;
    std::unique_ptr<http_server> http;
};

absl::StatusOr<std::unique_ptr<daemon>> daemon::create(daemon_settings const& settings)
{
    auto prepared = std::make_unique<state>();
    http_router router;
    if (settings.control) {
        auto control = control_role::create(settings, prepared->metrics);
        if (!control.ok())
            return control.status();
        prepared->control = *std::move(control);
        prepared->control->registerAt(router);
    }
    if (settings.balancer) {
        auto balancer = balancer_role::create(settings, prepared->metrics);
        if (!balancer.ok())
            return balancer.status();
        prepared->balancer = *std::move(balancer);
        prepared->balancer->registerAt(router);
    }
    prepared->health
        = std::make_unique<health_api>([state = prepared.get()] { return readinessOf(state->balancer.get()); },
            [state = prepared.get()] { return state->metrics.exposition(); });
    prepared->health->registerAt(router);
    auto http = http_server::create(settings.http, std::move(router));
    if (!http.ok())
        return http.status();
    prepared->http = *std::move(http);
    prepared->logger.emit(events::daemonStarted,
        "deployment=" + settings.deployment + " host=" + std::to_string(settings.host.value)
            + " http=" + settings.http.toText());
    return std::unique_ptr<daemon>(new daemon(std::move(prepared)));
}

daemon::daemon(std::unique_ptr<state> prepared)
    : m_state(std::move(prepared))
{
}

daemon::~daemon() = default;

void daemon::run(std::function<bool()> const& stopRequested)
{
    while (!stopRequested())
        std::this_thread::sleep_for(pollInterval);
    m_state->logger.emit(events::daemonStopping, "");
    if (m_state->balancer)
        m_state->balancer->leave();
    if (m_state->control)
        m_state->control->leave();
    m_state->logger.emit(events::daemonStopped, "");
}

} // namespace bilberryyard
