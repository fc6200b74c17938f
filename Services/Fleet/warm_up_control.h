#pragma once

#include "fleet_settings.h"

#include <Base/event_logger.h>
#include <Kernel/metrics_registry.h>
#include <Placement/warm_up_ledger.h>
#include <map>
#include <mutex>

namespace bilberryyard {

/// The warm-up limits of the servers that announce themselves to this control host. Safe to use from several threads.
class warm_up_control {
public:
    explicit warm_up_control(fleet_settings const& settings);

    /// Replaces the services with their limits.
    void setServices(std::vector<routed_service> const& services);

    /// Records an announcement that a server sent to this host. Called from any thread.
    void recordAnnouncement(backend_announcement const& announcement, monotonic_time now);

    /// @return The response to a balancer's request; without servers if none of them announces itself here.
    warm_up_grants grant(ip_endpoint const& balancer, warm_up_request const& request, monotonic_time now);

    /// Updates metrics and logs what was granted since the last call. Called about once a second.
    void maintain(metrics_registry& metrics, monotonic_time now);

private:
    std::mutex m_mutex;
    event_logger m_logger { "control" };
    double m_excess;
    double m_slack;
    warm_up_ledger m_ledger;
    /// Services with a limit.
    std::map<std::string, routed_service> m_services;
    uint64_t m_loggedGranted = 0;
    uint64_t m_loggedWithheld = 0;
    uint64_t m_loggedDeferred = 0;
};

} // namespace bilberryyard
