#pragma once

#include <OperatorInterface/http_router.h>
#include <functional>
#include <string>

namespace bilberryyard {

enum class readiness {
    Ready,
    Starting,
    /// The host is shutting down gracefully; the platform should stop sending traffic to it.
    Stopping,
};

/// The handlers of /healthz, /readyz and /metrics (docs/http-interface.md).
class health_api {
public:
    /// @param currentReadiness Called for each /readyz request, from several threads.
    /// @param exposition Returns the metrics in the Prometheus text format; called from several threads.
    health_api(std::function<readiness()> currentReadiness, std::function<std::string()> exposition);

    /// @param router Keeps references to this object, which must outlive it.
    void registerAt(http_router& router) const;

private:
    http_response ready(http_request const& request) const;

    std::function<readiness()> m_currentReadiness;
    std::function<std::string()> m_exposition;
};

} // namespace bilberryyard
