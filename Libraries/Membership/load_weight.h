#pragma once

#include <Membership/health_types.h>
#include <optional>

namespace bilberryyard {

/// The weight of one server from its load reports.
///
/// Reports lag behind the weights that cause them, and with few slots they are coarse. The load is
/// therefore smoothed, differences within a tolerance are ignored, and the weight corrects only half of the
/// rest (in logarithms): a correction that would be full from a delayed report swings.
class load_weight {
public:
    /// @param load Busy slots, queue and open connections.
    /// @param slots Slots of the server, at least 1.
    /// @param settings The smoothing.
    /// @param now When the report arrived.
    void report(load_report const& load, uint32_t slots, health_settings const& settings, monotonic_time now);

    /// @return Smoothed (busy slots + queue) / slots; nothing before the first report.
    std::optional<double> load() const { return m_load; }

    /// Adapts the weight.
    /// @param meanLoad Mean load of the service's servers.
    /// @param settings Tolerance and cap.
    /// @return The factor, 1 until the load was reported for the smoothing time; in steps of 1/32 so that it does not
    /// change with every report.
    double update(double meanLoad, health_settings const& settings);

private:
    std::optional<double> m_load;
    uint32_t m_reports = 0;
    monotonic_time m_firstReportAt;
    monotonic_time m_reportedAt;
    double m_weight = 1.0;
};

} // namespace bilberryyard
