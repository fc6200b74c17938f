#include <Routing/share_calculator.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace bilberryyard {

namespace {

    /// Weights are clamped to this range, because others would give a server nearly all buckets or none.
    constexpr double minimumWeight = 0.01;
    constexpr double maximumWeight = 100.0;
    /// Interval at which a server that was reduced for its connections gets back one step of its share.
    constexpr duration limitRecoveryInterval = std::chrono::seconds { 5 };
    constexpr double limitFactorStep = 0.2;

    /// Returns 1 below 90% of the connection limit and 0 from 100%, decreasing in steps of limitFactorStep in between
    /// (docs/design.md section 3.4).
    double factorForConnections(planner_server const& server)
    {
        if (server.connectionLimit == 0)
            return 1.0;
        double const used = static_cast<double>(server.openConnections) / server.connectionLimit;
        if (used < 0.9)
            return 1.0;
        return std::max(0.0, std::ceil((1.0 - used) * 40.0)) * limitFactorStep;
    }

    double clampedWeight(double weight)
    {
        return std::isfinite(weight) ? std::clamp(weight, minimumWeight, maximumWeight) : 1.0;
    }

} // namespace

share_calculator::share_calculator(planner_settings const& settings)
    : m_settings(settings)
{
}

std::map<server_id, uint32_t> share_calculator::quotas(std::vector<planner_server> const& servers,
    std::map<server_id, uint32_t> const& counts, uint32_t bucketCount, monotonic_time now)
{
    auto const weights = effectiveWeights(servers, counts, bucketCount, now);
    double total = 0;
    for (auto const& [id, weight] : weights)
        total += weight;
    std::map<server_id, uint32_t> result;
    if (total <= 0)
        return result;
    struct remainder {
        bool keepsExtra;
        double fraction;
        server_id id;
    };
    std::vector<remainder> remainders;
    uint32_t assigned = 0;
    for (auto const& [id, weight] : weights) {
        double const exactShare = weight / total * bucketCount;
        auto const roundedDown = static_cast<uint32_t>(exactShare);
        auto const count = counts.find(id);
        result[id] = roundedDown;
        assigned += roundedDown;
        if (weight > 0)
            remainders.push_back(
                { count != counts.end() && count->second > roundedDown, exactShare - roundedDown, id });
    }
    std::sort(remainders.begin(), remainders.end(), [](remainder const& first, remainder const& second) {
        return std::tuple(!first.keepsExtra, -first.fraction, first.id)
            < std::tuple(!second.keepsExtra, -second.fraction, second.id);
    });
    for (size_t index = 0; assigned < bucketCount; ++index, ++assigned)
        ++result[remainders[index % remainders.size()].id];
    return result;
}

bool share_calculator::isSteady(std::vector<planner_server> const& servers, monotonic_time now) const
{
    bool const hasReduced = std::any_of(m_connectionLimitStates.begin(), m_connectionLimitStates.end(),
        [](auto const& item) { return item.second.factor < 1.0; });
    return !hasReduced && std::all_of(servers.begin(), servers.end(), [&](planner_server const& server) {
        return now - server.acceptingSince >= m_settings.coldStart && factorForConnections(server) >= 1.0;
    });
}

std::map<server_id, double> share_calculator::effectiveWeights(std::vector<planner_server> const& servers,
    std::map<server_id, uint32_t> const& counts, uint32_t bucketCount, monotonic_time now)
{
    if (m_connectionLimitStates.size() > servers.size()) {
        std::set<server_id> listed;
        for (auto const& server : servers)
            listed.insert(server.id);
        std::erase_if(m_connectionLimitStates, [&](auto const& item) { return !listed.contains(item.first); });
    }
    std::map<server_id, double> factoredWeights;
    double total = 0;
    for (auto const& server : servers) {
        if (server.condition != server_condition::Accepting)
            continue;
        factoredWeights[server.id] = clampedWeight(server.weight) * connectionLimitFactor(server, now);
        total += factoredWeights[server.id];
    }
    if (total <= 0) {
        // Every server is full. Primaries refuse flows that exceed a connection limit, and the buckets stay evenly
        // distributed.
        for (auto& [id, weight] : factoredWeights)
            weight = 1.0;
        return factoredWeights;
    }
    for (auto const& server : servers) {
        auto const entry = factoredWeights.find(server.id);
        if (entry == factoredWeights.end() || entry->second <= 0)
            continue;
        // A cold start only limits growth. It never removes buckets that a server already has, for example from the
        // first assignment of a service. The factor is rounded to whole steps, because the next quota depends on
        // it: an exact factor could raise the quota by one more bucket in each computation, and the server would
        // grow faster than the cold start allows.
        auto const count = counts.find(server.id);
        double const currentShare = count == counts.end() ? 0.0 : count->second * total / entry->second / bucketCount;
        double const steps = std::max(m_settings.coldStartSteps, 1U);
        entry->second
            *= std::min(1.0, std::max(std::round(currentShare * steps) / steps, coldStartFactor(server, now)));
    }
    return factoredWeights;
}

double share_calculator::connectionLimitFactor(planner_server const& server, monotonic_time now)
{
    double const target = factorForConnections(server);
    auto& state = m_connectionLimitStates.try_emplace(server.id, connection_limit_state { 1.0, now }).first->second;
    if (target <= state.factor) {
        if (target < state.factor || target < 1.0)
            state.changedAt = now;
        state.factor = target;
    } else if (now - state.changedAt >= limitRecoveryInterval) {
        state.factor = std::min(target, state.factor + limitFactorStep);
        state.changedAt = now;
    }
    return state.factor;
}

double share_calculator::coldStartFactor(planner_server const& server, monotonic_time now) const
{
    if (m_settings.coldStart <= duration::zero() || m_settings.coldStartSteps == 0)
        return 1.0;
    auto const elapsed = std::max(duration::zero(), now - server.acceptingSince);
    double const steps = m_settings.coldStartSteps;
    double const reached = std::floor(steps * static_cast<double>(elapsed.count()) / m_settings.coldStart.count());
    return std::min(1.0, (1.0 + reached) / steps);
}

} // namespace bilberryyard
