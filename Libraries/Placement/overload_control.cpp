#include <Placement/overload_control.h>

#include <Base/hashing.h>
#include <algorithm>
#include <cmath>

namespace bilberryyard {

namespace {

    constexpr double quantile = 0.25;
    // An estimate moves by at most this part of itself with a sample: it follows a change in 20 to 60 answers.
    constexpr double quantileStep = 0.1;
    // Overload ends at this multiple of the unloaded time, below the one at which it begins.
    constexpr double endFactor = 1.5;
    // The unloaded time follows a service that has become slower for good: it doubles within 35,000 answers.
    constexpr double unloadedDrift = 0.00002;

    double seconds(duration value) { return std::chrono::duration<double>(value).count(); }

} // namespace

overload_control::overload_control(placement_settings const& settings)
    : m_settings(settings)
{
}

void overload_control::noteResponse(std::string const& service, duration time, monotonic_time now)
{
    auto const sample = seconds(time);
    if (sample <= 0)
        return;
    auto& times = m_services[service];
    times.latestAt = now;
    if (times.quartile == 0)
        times.quartile = times.unloaded = sample;
    // Stochastic approximation: the steps balance when a quarter of the samples is smaller.
    times.quartile *= std::exp(quantileStep * (sample > times.quartile ? quantile : quantile - 1));
    times.unloaded = std::min(times.unloaded * (1 + unloadedDrift), times.quartile);
    if (times.quartile < endFactor * times.unloaded)
        times.raisedSince.reset();
    else if (!times.raisedSince && times.quartile >= m_settings.refuseLeast.unloadedFactor * times.unloaded)
        times.raisedSince = now;
}

double overload_control::refusedShare(
    response_times const& times, service_route const& route, route_importance importance) const
{
    auto const target = seconds(route.targetLatency);
    if (target <= 0)
        return 0;
    // Less important flows give way before the others do.
    auto const& limit = importance == route_importance::Least ? m_settings.refuseLeast : m_settings.refuseHigher;
    auto const from = std::max(limit.targetShare * target, limit.unloadedFactor * times.unloaded);
    auto const share = (times.quartile - from) / (m_settings.refuseRamp * target);
    return std::clamp(share, 0.0, m_settings.largestRefusedShare);
}

bool overload_control::admits(std::string const& service, service_route const& route, route_importance importance,
    uint64_t callerHash, monotonic_time now) const
{
    auto const times = m_services.find(service);
    if (times == m_services.end() || now - times->second.latestAt > m_settings.overloadMemory)
        return true;
    // A queue that an outage has left drains within a second or two, and its callers are better served late.
    auto const& raisedSince = times->second.raisedSince;
    if (!raisedSince || now - *raisedSince < m_settings.overloadPatience)
        return true;
    auto const share = refusedShare(times->second, route, importance);
    if (share <= 0)
        return true;
    // Periods of callers begin at different times, so that those who were refused do not all return at once.
    auto const phase = duration(callerHash % static_cast<uint64_t>(m_settings.refusalPeriod.count()));
    auto const period = static_cast<uint64_t>((now.time_since_epoch() + phase) / m_settings.refusalPeriod);
    constexpr uint64_t resolution = 1'000;
    auto const draw = static_cast<double>(hashPair(callerHash, period) % resolution) / resolution;
    return draw >= share;
}

duration overload_control::quickResponse(std::string const& service) const
{
    auto const times = m_services.find(service);
    if (times == m_services.end())
        return {};
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(times->second.quartile));
}

} // namespace bilberryyard
