#include <Membership/health_evaluator.h>

#include <Base/error_kind.h>
#include <algorithm>
#include <cmath>
#include <tuple>

namespace bilberryyard {

namespace {

    /// Number of standard deviations by which a server's failure ratio must exceed that of the others. With 4, a fault
    /// of the callers, by which 30% of all handshakes failed, ejected one of 14 servers by chance within 25 simulated
    /// minutes.
    constexpr double significance = 5.0;
    /// Factor by which a server's failure ratio must also exceed that of the others.
    constexpr double factorOverOthers = 1.5;
    /// Share of the connection limit from which refused handshakes are expected (docs/design.md section 3.4).
    constexpr double nearLimitShare = 0.9;

    /// Two-proportion z-test with pooled variance.
    bool exceedsOthers(handshake_window::totals const& own, handshake_window::totals const& others)
    {
        if (others.started == 0)
            return false;
        double const ownRatio = static_cast<double>(own.failed) / own.started;
        double const otherRatio = static_cast<double>(others.failed) / others.started;
        double const pooled = static_cast<double>(own.failed + others.failed) / (own.started + others.started);
        double const deviation = std::sqrt(pooled * (1 - pooled) * (1.0 / own.started + 1.0 / others.started));
        return ownRatio > factorOverOthers * otherRatio && ownRatio - otherRatio > significance * deviation;
    }

} // namespace

health_evaluator::health_evaluator(health_settings const& settings)
    : m_settings(settings)
{
}

absl::StatusOr<health_evaluator> health_evaluator::create(health_settings const& settings)
{
    if (settings.window <= duration::zero() || settings.handshakeTimeout < duration::zero())
        return makeError(
            error_kind::InvalidArgument, "window must be positive and the handshake timeout must not be negative");
    if (!(settings.failureRatio > 0 && settings.failureRatio < 1))
        return makeError(error_kind::InvalidArgument, "failure ratio must be between 0 and 1");
    if (!(settings.ejectionCap >= 0 && settings.ejectionCap < 1))
        return makeError(error_kind::InvalidArgument, "ejection cap must be at least 0 and below 1");
    if (settings.initialBackOff <= duration::zero() || settings.maximumBackOff < settings.initialBackOff)
        return makeError(
            error_kind::InvalidArgument, "initial back-off must be positive and not exceed the maximum back-off");
    if (!(settings.weightCap >= 1 && std::isfinite(settings.weightCap)))
        return makeError(error_kind::InvalidArgument, "report_weight_cap must be finite and at least 1");
    if (!(settings.loadTolerance >= 0))
        return makeError(error_kind::InvalidArgument, "load tolerance must not be negative");
    return health_evaluator(settings);
}

void health_evaluator::observe(handshake_statistics const& statistics, monotonic_time now)
{
    auto& handshakes = m_servers[statistics.server].handshakes;
    handshakes.add(statistics, now);
    handshakes.trim(m_settings, now);
}

void health_evaluator::report(server_id server, server_announcement const& announcement, monotonic_time now)
{
    auto& health = m_servers[server];
    health.weight.report(announcement.load, announcement.slots, m_settings, now);
    health.isNearConnectionLimit = announcement.connectionLimit > 0
        && announcement.load.openConnections >= nearLimitShare * announcement.connectionLimit;
}

std::map<server_id, health_evaluation> health_evaluator::evaluate(
    std::set<server_id> const& serving, monotonic_time now)
{
    std::erase_if(m_servers, [&](auto const& item) { return !serving.contains(item.first); });
    for (auto const server : serving)
        m_servers[server].handshakes.trim(m_settings, now);
    readmit(now);
    auto ejected = static_cast<size_t>(
        std::count_if(m_servers.begin(), m_servers.end(), [](auto const& item) { return item.second.isEjected; }));
    auto const cap = static_cast<size_t>(m_settings.ejectionCap * static_cast<double>(serving.size()));
    for (auto const& value : ejectionCandidates(now)) {
        if (ejected >= cap || ejected + 1 >= serving.size())
            break;
        eject(m_servers[value.server], now);
        ++ejected;
    }
    double total = 0;
    size_t reporting = 0;
    for (auto const& [server, health] : m_servers) {
        if (!health.weight.load() || health.isEjected)
            continue;
        total += *health.weight.load();
        ++reporting;
    }
    std::map<server_id, health_evaluation> evaluations;
    for (auto& [server, health] : m_servers) {
        double const weight
            = reporting > 0 ? health.weight.update(total / static_cast<double>(reporting), m_settings) : 1.0;
        evaluations[server] = { health.isEjected, weight, health.returnedAt };
    }
    return evaluations;
}

void health_evaluator::readmit(monotonic_time now)
{
    for (auto& [server, health] : m_servers) {
        if (health.isEjected && now >= health.ejectedUntil) {
            health.isEjected = false;
            health.returnedAt = now;
            health.handshakes.clear();
        } else if (!health.isEjected && health.backOff > duration::zero()
            && now - health.returnedAt >= m_settings.maximumBackOff) {
            health.backOff = duration::zero();
        }
    }
}

std::vector<health_evaluator::ejection_candidate> health_evaluator::ejectionCandidates(monotonic_time now) const
{
    handshake_window::totals all;
    std::map<server_id, handshake_window::totals> totals;
    for (auto const& [server, health] : m_servers) {
        if (health.isEjected)
            continue;
        totals[server] = health.handshakes.total(m_settings, now);
        all.started += totals[server].started;
        all.failed += totals[server].failed;
    }
    std::vector<ejection_candidate> result;
    for (auto const& [server, own] : totals) {
        if (own.started < m_settings.minimumHandshakes || m_servers.at(server).isNearConnectionLimit)
            continue;
        double const ratio = static_cast<double>(own.failed) / own.started;
        handshake_window::totals const others { all.started - own.started, all.failed - own.failed };
        if (ratio > m_settings.failureRatio && exceedsOthers(own, others))
            result.push_back({ ratio, server });
    }
    std::sort(result.begin(), result.end(), [](ejection_candidate const& first, ejection_candidate const& second) {
        return std::tuple(-first.ratio, first.server) < std::tuple(-second.ratio, second.server);
    });
    return result;
}

void health_evaluator::eject(server_health& health, monotonic_time now) const
{
    health.backOff = health.backOff == duration::zero() ? m_settings.initialBackOff
                                                        : std::min(health.backOff * 2, m_settings.maximumBackOff);
    health.isEjected = true;
    health.ejectedUntil = now + health.backOff;
}

} // namespace bilberryyard
