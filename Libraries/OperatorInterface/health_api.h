#pragma once

#include <OperatorInterface/http_router.h>
#include <functional>
#include <string>

namespace bilberryyard {

enum class readiness {
    Ready,
    Starting,
    /// The host shuts down gracefully; the platform should stop sending traffic to it.
    Stopping,
};

/// The handlers of /healthz, /readyz and /metrics (docs/http-interface.md).
class health_api {
public:
    /// @param readinessOf Tells whether the host is ready.
    /// @param exposition Gives the metrics in the Prometheus text format.
    health_api(std::function<readiness()> readinessOf, std::function<std::string()> exposition);

    /// Registers the handlers. This object outlives the router.
    /// @param router The router.
    void registerAt(http_router& router) const;

private:
    http_response ready(http_request const& request) const;

    std::function<readiness()> m_readinessOf;
    std::function<std::string()> m_exposition;
};

} // namespace bilberryyard
