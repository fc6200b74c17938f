#pragma once

#include <Base/monotonic_time.h>
#include <Placement/placement_settings.h>
#include <Placement/route_table.h>
#include <map>
#include <optional>
#include <string>

namespace bilberryyard {

/// Importance of a route among all routes to the same service, by priority.
enum class route_importance : uint8_t {
    Least,
    Higher,
};

/// Decides which new flows a service accepts while the load exceeds the capacity of its servers. Without it all queues
/// fill up, nearly all responses are late, and retries add to the load. With it some callers are refused at once and
/// the others receive their responses in time.
///
/// A service is overloaded when the lower quartile of its response times is high, compared with the target latency of
/// the route and with the response time without a queue, for longer than a temporary queue takes to drain. The lower
/// quartile is used because a few slow or failing servers do not raise it.
class overload_control {
public:
    explicit overload_control(placement_settings const& settings);

    /// @param time From a request to the first byte of its response.
    /// @param now When the balancer observed the response.
    void recordLatency(std::string const& service, duration time, monotonic_time now);

    /// @param route Route of the new flow.
    /// @param importance Importance of the route among those to the service.
    /// @param callerHash Hash of the caller's address. The result for one caller stays the same for the refusal period,
    ///     so refused callers cannot displace others by retrying.
    /// @return Whether the service accepts the flow.
    bool admits(std::string const& service, service_route const& route, route_importance importance,
        uint64_t callerHash, monotonic_time now) const;

    /// @return Lower quartile of the service's response times; zero before the first response.
    duration lowerQuartileResponseTime(std::string const& service) const;

private:
    struct response_times {
        /// Estimate of the lower quartile.
        double lowerQuartileSeconds = 0;
        /// Recent minimum of the lower quartile: the response time without a queue.
        double unloadedSeconds = 0;
        monotonic_time lastSampleAt;
        /// Since when the lower quartile has indicated a queue.
        std::optional<monotonic_time> queuedSince;
    };

    double refusedShare(response_times const& times, service_route const& route, route_importance importance) const;

    placement_settings m_settings;
    std::map<std::string, response_times> m_services;
};

} // namespace bilberryyard
