#pragma once

#include <Base/monotonic_time.h>
#include <Placement/placement_settings.h>
#include <Placement/route_table.h>
#include <map>
#include <optional>
#include <string>

namespace bilberryyard {

/// Whether other routes to the same service are less important.
enum class route_importance : uint8_t {
    Least,
    Higher,
};

/// Decides which new flows a service takes when more is asked of it than its servers can do. Without it every queue is
/// full, nearly all answers are late, and repeated requests add to the load; with it some callers are refused at once
/// and the others are answered in time.
///
/// A service is overloaded when even the quick quarter of its answers takes long compared with what the route aims
/// at, and with what answers take otherwise, for longer than a queue takes to drain. Slow or failing servers alone do
/// not move that quarter.
class overload_control {
public:
    /// @param settings Thresholds.
    explicit overload_control(placement_settings const& settings);

    /// Notes the time from a request to the first byte of its answer.
    /// @param service Name of the service.
    /// @param time The time.
    /// @param now When the answer was seen.
    void noteResponse(std::string const& service, duration time, monotonic_time now);

    /// @param service Name of the service.
    /// @param route The route of a new flow.
    /// @param importance Of the route among those to the service.
    /// @param callerHash A hash of the caller's address. One caller gets the same answer for some time, so that those
    ///     who are refused do not push others out by trying again.
    /// @param now The time.
    /// @return Whether the service should take the flow.
    bool admits(std::string const& service, service_route const& route, route_importance importance,
        uint64_t callerHash, monotonic_time now) const;

    /// @param service Name of a service.
    /// @return Time that the quick quarter of its answers takes; zero before the first answer.
    duration quickResponse(std::string const& service) const;

private:
    struct response_times {
        /// Estimate of the lower quartile in seconds.
        double quartile = 0;
        /// The lowest quartile lately: what answers take without a queue.
        double unloaded = 0;
        monotonic_time latestAt;
        /// Since when there has been a queue.
        std::optional<monotonic_time> raisedSince;
    };

    double refusedShare(response_times const& times, service_route const& route, route_importance importance) const;

    placement_settings m_settings;
    std::map<std::string, response_times> m_services;
};

} // namespace bilberryyard
