#include <Placement/overload_control.h>

#include <Base/hashing.h>
#include <algorithm>
#include <cmath>

namespace bilberryyard {

namespace {

    constexpr double quantile = 0.25;
    // Largest relative change of the estimate with one sample. The estimate follows a change within 20 to 60 responses.
    constexpr double quantileStep = 0.1;
    // Overload ends below this multiple of the unloaded time, which is lower than the factor at which it begins.
    constexpr double overloadEndFactor = 1.5;
    // Relative growth of the unloaded time with each response, so that it adapts to a service that has become
    // permanently slower: it doubles within 35,000 responses.
    constexpr double unloadedDrift = 0.00002;

    double seconds(duration value) { return std::chrono::duration<double>(value).count(); }

} // namespace

overload_control::overload_control(placement_settings const& settings)
    : m_settings(settings)
{
}

void overload_control::recordLatency(std::string const& service, duration time, monotonic_time now)
{
    auto const sample = seconds(time);
    if (sample <= 0)
        return;
    auto& times = m_services[service];
    times.lastSampleAt = now;
    if (times.lowerQuartileSeconds == 0)
        times.lowerQuartileSeconds = times.unloadedSeconds = sample;
    // Stochastic approximation: up and down steps balance when a quarter of the samples is below the estimate.
    times.lowerQuartileSeconds
        *= std::exp(quantileStep * (sample > times.lowerQuartileSeconds ? quantile : quantile - 1));
    times.unloadedSeconds = std::min(times.unloadedSeconds * (1 + unloadedDrift), times.lowerQuartileSeconds);
    if (times.lowerQuartileSeconds < overloadEndFactor * times.unloadedSeconds)
        times.queuedSince.reset();
    else if (!times.queuedSince
        && times.lowerQuartileSeconds >= m_settings.leastImportantRefusal.unloadedFactor * times.unloadedSeconds)
        times.queuedSince = now;
}

double overload_control::refusedShare(
    response_times const& times, service_route const& route, route_importance importance) const
{
    auto const target = seconds(route.targetLatency);
    if (target <= 0)
        return 0;
    // The least important flows are refused at a lower threshold than the others.
    auto const& threshold
        = importance == route_importance::Least ? m_settings.leastImportantRefusal : m_settings.moreImportantRefusal;
    auto const from = std::max(threshold.targetShare * target, threshold.unloadedFactor * times.unloadedSeconds);
    auto const share = (times.lowerQuartileSeconds - from) / (m_settings.refusalRamp * target);
    return std::clamp(share, 0.0, m_settings.maximumRefusedShare);
}

bool overload_control::admits(std::string const& service, service_route const& route, route_importance importance,
    uint64_t callerHash, monotonic_time now) const
{
    auto const times = m_services.find(service);
    if (times == m_services.end() || now - times->second.lastSampleAt > m_settings.overloadExpiry)
        return true;
    // The queue after an outage drains within one to two seconds; its callers are better served late than refused.
    auto const& queuedSince = times->second.queuedSince;
    if (!queuedSince || now - *queuedSince < m_settings.overloadDelay)
        return true;
    auto const share = refusedShare(times->second, route, importance);
    if (share <= 0)
        return true;
    // The refusal periods of callers start at different times, so that refused callers do not all retry at once.
    auto const phase = duration(callerHash % static_cast<uint64_t>(m_settings.refusalPeriod.count()));
    auto const period = static_cast<uint64_t>((now.time_since_epoch() + phase) / m_settings.refusalPeriod);
    constexpr uint64_t resolution = 1'000;
    auto const randomValue = static_cast<double>(hashPair(callerHash, period) % resolution) / resolution;
    return randomValue >= share;
}

duration overload_control::lowerQuartileResponseTime(std::string const& service) const
{
    auto const times = m_services.find(service);
    if (times == m_services.end())
        return {};
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(times->second.lowerQuartileSeconds));
}

} // namespace bilberryyard
