#include "warm_up_control.h"

#include <Placement/flow_token.h>

namespace bilberryyard {

warm_up_control::warm_up_control(fleet_settings const& settings)
    : m_excess(settings.coldRequestExcess)
    , m_slack(settings.coldRequestSlack)
    , m_ledger(warm_up_times(), settings.announcementInterval)
{
}

void warm_up_control::setServices(std::vector<routed_service> const& services)
{
    std::lock_guard const lock(m_mutex);
    m_services.clear();
    for (auto const& service : services) {
        if (service.coldRequestsPerSecond > 0)
            m_services.emplace(service.name, service);
    }
}

void warm_up_control::recordAnnouncement(backend_announcement const& announcement, monotonic_time now)
{
    std::lock_guard const lock(m_mutex);
    auto const token = flowToken(announcement.id);
    auto const service = m_services.find(announcement.service);
    if (service == m_services.end() || announcement.state == backend_state::Gone)
        return m_ledger.remove(token);
    m_ledger.recordAnnouncement({ token, announcement.startedAtMs, announcement.sequence, announcement.remainingWarmUp,
                                    service->second.coldDuration },
        { service->second.coldRequestsPerSecond, m_excess, m_slack }, now);
}

warm_up_grants warm_up_control::grant(ip_endpoint const& balancer, warm_up_request const& request, monotonic_time now)
{
    std::lock_guard const lock(m_mutex);
    warm_up_grants result { request.number, {} };
    for (auto const& demand : request.servers) {
        if (auto const granted = m_ledger.grant(balancer, demand, now))
            result.servers.push_back(*granted);
    }
    return result;
}

void warm_up_control::maintain(metrics_registry& metrics, monotonic_time now)
{
    std::lock_guard const lock(m_mutex);
    m_ledger.recordActivity(now);
    m_ledger.expire(now);
    if (m_services.empty())
        return;
    auto const warming = m_ledger.warmingUpCount(now);
    metrics.setGauge("control_servers_warming_up", static_cast<double>(warming));
    auto const granted = m_ledger.grantedCount() - std::exchange(m_loggedGranted, m_ledger.grantedCount());
    auto const withheld = m_ledger.withheldCount() - std::exchange(m_loggedWithheld, m_ledger.withheldCount());
    auto const deferred = m_ledger.deferredCount() - std::exchange(m_loggedDeferred, m_ledger.deferredCount());
    metrics.counter("warm_up_requests_granted_total").add(granted);
    metrics.counter("warm_up_requests_withheld_total").add(withheld + deferred);
    if (granted + withheld + deferred > 0)
        m_logger.emit(events::warmUpBudgetShared,
            "servers=" + std::to_string(warming) + " granted=" + std::to_string(granted)
                + " limit_reached=" + std::to_string(withheld) + " taking_over=" + std::to_string(deferred));
}

} // namespace bilberryyard
