#pragma once

#include "coordination_duty.h"
#include "packet_duty.h"
#include <Kernel/metrics_registry.h>
#include <OperatorInterface/http_router.h>

namespace bilberryyard {

/// The HTTP interface of a balancer: announcements, readiness, status and explanations.
class balancer_http {
public:
    /// @param coordination The coordination thread; must outlive the handlers.
    /// @param packets The packet thread; must outlive the handlers.
    balancer_http(coordination_duty& coordination, packet_duty& packets);

    /// Adds the handlers.
    void registerAt(http_router& router);

private:
    http_response ready(http_request const& request) const;
    http_response servers(http_request const& request);
    http_response announce(http_request const& request);
    http_response listServers(http_request const& request) const;
    http_response status(http_request const& request) const;
    http_response explain(http_request const& request);

    coordination_duty& m_coordination;
    packet_duty& m_packets;
};

} // namespace bilberryyard
