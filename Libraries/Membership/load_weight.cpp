#include <Membership/load_weight.h>

#include <algorithm>
#include <cmath>

namespace bilberryyard {

namespace {

    /// Loads are compared after this is added, so that idle servers do not differ by large ratios.
    constexpr double loadOffset = 0.25;
    constexpr double weightStep = 1.0 / 32;

} // namespace

void load_weight::report(load_report const& load, uint32_t slots, health_settings const& settings, monotonic_time now)
{
    double const value = (static_cast<double>(load.busySlots) + load.queue) / std::max(slots, 1U);
    ++m_reports;
    if (!m_load) {
        m_load = value;
        m_firstReportAt = now;
    } else {
        double const elapsed = std::chrono::duration<double>(now - m_reportedAt).count();
        double const constant = std::chrono::duration<double>(settings.loadSmoothing).count();
        double const share = constant > 0 ? 1.0 - std::exp(-std::max(elapsed, 0.0) / constant) : 1.0;
        // A plain average at first, so that the first report does not outweigh the next ones.
        m_load = *m_load + std::max(share, 1.0 / m_reports) * (value - *m_load);
    }
    m_reportedAt = now;
}

double load_weight::update(double meanLoad, health_settings const& settings)
{
    if (!m_load || m_reportedAt - m_firstReportAt < settings.loadSmoothing)
        return m_weight;
    double const difference = std::log((meanLoad + loadOffset) / (*m_load + loadOffset));
    double const excess = std::max(0.0, std::abs(difference) - std::log1p(settings.loadTolerance));
    double const wanted = std::exp(std::copysign(0.5 * excess, difference));
    double const capped = std::clamp(wanted, 1.0 / settings.weightCap, settings.weightCap);
    // One and a half steps of hysteresis: a value between two steps does not flip.
    if (std::abs(capped - m_weight) >= 1.5 * weightStep)
        m_weight
            = std::clamp(std::round(capped / weightStep) * weightStep, 1.0 / settings.weightCap, settings.weightCap);
    return m_weight;
}

} // namespace bilberryyard
