#include <Membership/load_weight.h>

#include <algorithm>
#include <cmath>

namespace bilberryyard {

namespace {

    /// Added to both loads before they are compared, so that the loads of idle servers do not differ by large ratios.
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
        double const elapsedSeconds = std::chrono::duration<double>(now - m_reportedAt).count();
        double const timeConstantSeconds = std::chrono::duration<double>(settings.loadSmoothing).count();
        double const smoothingFactor
            = timeConstantSeconds > 0 ? 1.0 - std::exp(-std::max(elapsedSeconds, 0.0) / timeConstantSeconds) : 1.0;
        // The first reports are averaged with equal weight, so that the very first one does not dominate.
        m_load = *m_load + std::max(smoothingFactor, 1.0 / m_reports) * (value - *m_load);
    }
    m_reportedAt = now;
}

double load_weight::update(double meanLoad, health_settings const& settings)
{
    if (!m_load || m_reportedAt - m_firstReportAt < settings.loadSmoothing)
        return m_weight;
    double const difference = std::log((meanLoad + loadOffset) / (*m_load + loadOffset));
    double const excess = std::max(0.0, std::abs(difference) - std::log1p(settings.loadTolerance));
    double const target = std::exp(std::copysign(0.5 * excess, difference));
    double const capped = std::clamp(target, 1.0 / settings.weightCap, settings.weightCap);
    // A hysteresis of one and a half steps keeps a value between two steps from alternating between them.
    if (std::abs(capped - m_weight) >= 1.5 * weightStep)
        m_weight
            = std::clamp(std::round(capped / weightStep) * weightStep, 1.0 / settings.weightCap, settings.weightCap);
    return m_weight;
}

} // namespace bilberryyard
