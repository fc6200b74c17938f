#pragma once

#include <Membership/health_types.h>
#include <optional>

namespace bilberryyard {

/// Derives the weight of one server from its load reports.
///
/// Reports lag behind the weights that cause them and are coarse when a server has few slots. The load is therefore
/// smoothed, differences within a tolerance are ignored, and the weight corrects only half of the remaining difference
/// (on a logarithmic scale), because a full correction from delayed reports oscillates.
class load_weight {
public:
    /// @param slots Slots of the server, at least 1.
    /// @param now When the report arrived.
    void report(load_report const& load, uint32_t slots, health_settings const& settings, monotonic_time now);

    /// @return Smoothed (busy slots + queue) / slots; no value before the first report.
    std::optional<double> load() const { return m_load; }

    /// Updates the weight.
    /// @param meanLoad Mean smoothed load of the service's servers.
    /// @return Factor for the configured weight; 1 until the reports span health_settings::loadSmoothing. Changes in
    ///     steps of 1/32, so that it does not change with every report.
    double update(double meanLoad, health_settings const& settings);

private:
    std::optional<double> m_load;
    uint32_t m_reports = 0;
    monotonic_time m_firstReportAt;
    monotonic_time m_reportedAt;
    double m_weight = 1.0;
};

} // namespace bilberryyard
