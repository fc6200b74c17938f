#include <Placement/zone_spill.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace bilberryyard {

namespace {

    // A flow that leaves passes the distance with its handshake and with its request.
    constexpr double roundTripsPerFlow = 2;
    // Relative growth of a minimum with each sample, so that it follows a path or a service that has become slower.
    constexpr double handshakeDrift = 0.0005;
    constexpr double unloadedDrift = 0.00002;
    constexpr double unloadedGain = 0.02;
    constexpr double bytesGain = 0.02;
    constexpr double minimumSeconds = 0.0001;
    // A single response that took far longer or shorter is no evidence of a queue.
    constexpr double minimumQueueSample = -1;
    constexpr double maximumQueueSample = 3;
    constexpr double maximumExcess = 1;
    constexpr double maximumStepSeconds = 0.2;
    // Weight of a zone by its expected response time. A zone that takes 20% longer gets half of the flows.
    constexpr double zoneWeightExponent = 4;

    double seconds(duration value) { return std::chrono::duration<double>(value).count(); }
    duration toDuration(double value)
    {
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
    }

} // namespace

char const* nameOf(request_kind kind)
{
    switch (kind) {
    case request_kind::Idempotent:
        return "idempotent";
    case request_kind::NonIdempotent:
        return "non_idempotent";
    case request_kind::Download:
        return "download";
    case request_kind::Upload:
        return "upload";
    }
    return "unknown";
}

zone_spill::zone_spill(zone_spill_settings const& settings, std::string const& ownZone)
    : m_settings(settings)
{
    m_zones.push_back({ ownZone, 0 });
}

size_t zone_spill::indexOf(std::string const& zone)
{
    auto const known
        = std::find_if(m_zones.begin(), m_zones.end(), [&](auto const& path) { return path.name == zone; });
    if (known != m_zones.end())
        return static_cast<size_t>(known - m_zones.begin());
    m_zones.push_back({ zone, 0 });
    return m_zones.size() - 1;
}

void zone_spill::recordHandshakeTime(size_t zone, duration time)
{
    auto& minimum = m_zones.at(zone).handshakeSeconds;
    auto const sample = std::max(seconds(time), minimumSeconds);
    minimum = minimum == 0 ? sample : std::min(minimum * (1 + handshakeDrift), sample);
}

double zone_spill::distanceSeconds(size_t zone) const
{
    auto const own = m_zones.front().handshakeSeconds;
    auto const there = m_zones.at(zone).handshakeSeconds;
    return own == 0 || there == 0 ? 0 : std::max(there - own, 0.0);
}

duration zone_spill::distanceTo(size_t zone) const { return toDuration(distanceSeconds(zone)); }

void zone_spill::recordResponseTime(
    std::string const& service, request_kind kind, size_t zone, duration time, monotonic_time now)
{
    auto& state = m_services[service];
    auto& requests = state.kinds.at(static_cast<size_t>(kind));
    auto const sample = std::log(std::max(seconds(time) - distanceSeconds(zone), minimumSeconds));
    ++requests.samples;
    requests.logSeconds += std::max(unloadedGain, 1.0 / requests.samples) * (sample - requests.logSeconds);
    // The first samples do not show a minimum yet.
    bool const isSettled = unloadedGain * requests.samples > 1;
    requests.unloadedLogSeconds
        = isSettled ? std::min(requests.unloadedLogSeconds + unloadedDrift, requests.logSeconds) : requests.logSeconds;

    if (state.zones.size() < m_zones.size())
        state.zones.resize(m_zones.size());
    auto& load = state.zones.at(zone);
    if (!isFresh(state, zone, now))
        load.samples = 0;
    ++load.samples;
    auto const pause = seconds(now - load.lastSampleAt) / seconds(m_settings.queueSmoothing);
    auto const gain = std::max(std::min(1 - std::exp(-pause), m_settings.maximumQueueGain), 1.0 / load.samples);
    auto const queue = std::clamp(sample - requests.unloadedLogSeconds, minimumQueueSample, maximumQueueSample);
    load.queue = load.samples == 1 ? queue : load.queue + gain * (queue - load.queue);
    load.lastSampleAt = now;
}

void zone_spill::recordRequestBytes(std::string const& service, request_kind kind, uint64_t bytes)
{
    auto& mean = m_services[service].kinds.at(static_cast<size_t>(kind)).bytes;
    auto const sample = static_cast<double>(bytes);
    mean = mean == 0 ? sample : mean + bytesGain * (sample - mean);
}

double zone_spill::remoteCost(std::string const& service, request_kind kind, size_t zone) const
{
    if (zone == 0)
        return 0;
    auto const initial = isLargeTransfer(kind) ? m_settings.initialRemoteTransferCost : m_settings.initialRemoteCost;
    auto const state = m_services.find(service);
    if (state == m_services.end())
        return initial;
    auto const& requests = state->second.kinds.at(static_cast<size_t>(kind));
    if (requests.samples == 0 || requests.bytes == 0)
        return initial;
    auto const delay = roundTripsPerFlow * distanceSeconds(zone)
        + seconds(m_settings.transferCostPerKilobyte) * requests.bytes / 1'000;
    return std::min(
        m_settings.leavingCost + delay / std::exp(requests.unloadedLogSeconds), m_settings.maximumRemoteCost);
}

bool zone_spill::isFresh(service_state const& service, size_t zone, monotonic_time now) const
{
    return zone < service.zones.size() && service.zones[zone].samples > 0
        && now - service.zones[zone].lastSampleAt <= m_settings.responseExpiry;
}

double zone_spill::queueOf(service_state const& service, size_t zone, monotonic_time now) const
{
    return isFresh(service, zone, now) ? service.zones[zone].queue : 0;
}

double zone_spill::expectedSeconds(
    service_state const& service, kind_state const& kind, size_t zone, monotonic_time now) const
{
    auto const response = std::exp(kind.unloadedLogSeconds + queueOf(service, zone, now));
    if (zone == 0)
        return response;
    return response + roundTripsPerFlow * distanceSeconds(zone)
        + seconds(m_settings.transferCostPerKilobyte) * kind.bytes / 1'000;
}

void zone_spill::updateShare(kind_state& kind, double excess, double limit, monotonic_time now) const
{
    auto const step = std::clamp(seconds(now - kind.decidedAt), 0.0, maximumStepSeconds);
    kind.decidedAt = now;
    auto const bounded = std::clamp(excess, -maximumExcess, maximumExcess);
    if (kind.integral == 0 && excess < m_settings.beginExcess) {
        kind.comparison.share = 0;
        return;
    }
    if (std::abs(excess) >= m_settings.toleratedExcess)
        kind.integral = std::clamp(kind.integral + m_settings.shareRate * step * bounded, 0.0, limit);
    kind.comparison.share = std::clamp(kind.integral + m_settings.proportionalShare * bounded, 0.0, limit);
}

std::optional<size_t> zone_spill::chooseZone(std::string const& service, request_kind kind, duration targetLatency,
    std::span<double const> capacities, double shareDraw, double zoneDraw, monotonic_time now)
{
    auto const found = m_services.find(service);
    if (found == m_services.end() || capacities.size() < 2 || capacities.front() <= 0)
        return std::nullopt;
    auto& state = found->second;
    auto& requests = state.kinds.at(static_cast<size_t>(kind));
    if (requests.samples == 0)
        return std::nullopt;
    auto const own = expectedSeconds(state, requests, 0, now);
    double best = 0;
    bool isConfirmed = false;
    for (size_t zone = 1; zone < capacities.size(); ++zone) {
        if (capacities[zone] <= 0)
            continue;
        auto const there = expectedSeconds(state, requests, zone, now);
        best = best == 0 ? there : std::min(best, there);
        isConfirmed = isConfirmed || isFresh(state, zone, now);
    }
    requests.comparison.ownTime = toDuration(own);
    requests.comparison.remoteTime = toDuration(best);
    if (best == 0) {
        requests.integral = requests.comparison.share = 0;
        return std::nullopt;
    }
    auto excess = std::log(own / best);
    if (targetLatency > duration::zero())
        excess = std::min(excess, std::log(own / (m_settings.targetShare * seconds(targetLatency))));
    updateShare(requests, excess, isConfirmed ? m_settings.maximumShare : m_settings.unconfirmedShare, now);
    if (shareDraw >= requests.comparison.share)
        return std::nullopt;

    auto const weightOf = [&](size_t zone) {
        auto const there = expectedSeconds(state, requests, zone, now);
        return capacities[zone] > 0 ? capacities[zone] * std::pow(best / there, zoneWeightExponent) : 0;
    };
    double total = 0;
    for (size_t zone = 1; zone < capacities.size(); ++zone)
        total += weightOf(zone);
    auto point = zoneDraw * total;
    std::optional<size_t> chosen;
    for (size_t zone = 1; zone < capacities.size(); ++zone) {
        auto const weight = weightOf(zone);
        if (weight <= 0)
            continue;
        chosen = zone;
        if (point < weight)
            break;
        point -= weight;
    }
    return chosen;
}

void zone_spill::recordDeparture(std::string const& service, request_kind kind, size_t zone)
{
    auto& departures = m_services[service].kinds.at(static_cast<size_t>(kind)).departures;
    if (departures.size() < m_zones.size())
        departures.resize(m_zones.size());
    ++departures.at(zone);
}

zone_comparison zone_spill::comparisonOf(std::string const& service, request_kind kind) const
{
    auto const state = m_services.find(service);
    return state == m_services.end() ? zone_comparison {}
                                     : state->second.kinds.at(static_cast<size_t>(kind)).comparison;
}

std::vector<zone_departures> zone_spill::drainDepartures()
{
    std::vector<zone_departures> result;
    for (auto& [service, state] : m_services) {
        for (size_t kind = 0; kind < kindCount; ++kind) {
            auto& requests = state.kinds.at(kind);
            for (size_t zone = 0; zone < requests.departures.size(); ++zone) {
                auto const flows = std::exchange(requests.departures[zone], 0);
                if (flows == 0)
                    continue;
                auto const bytes = static_cast<uint64_t>(static_cast<double>(flows) * requests.bytes);
                result.push_back({ service, static_cast<request_kind>(kind), m_zones[zone].name, flows, bytes,
                    requests.comparison });
            }
        }
    }
    return result;
}

} // namespace bilberryyard
