#pragma once

#include <Routing/planner_types.h>
#include <cstdint>
#include <map>
#include <vector>

namespace bilberryyard {

/// Turns the weights and conditions of a service's servers into numbers of buckets. Keeps, per server, how
/// far it was reduced for being close to its connection limit, so that it does not swing back at once.
class share_calculator {
public:
    /// @param settings The planner's settings.
    explicit share_calculator(planner_settings const& settings);

    /// Computes how many buckets each server should have. The numbers add up to the number of buckets and
    /// differ from the exact shares by less than one; a server that already has its share rounded up keeps
    /// it, so that no bucket moves for a remainder.
    /// @param servers The servers.
    /// @param counts Buckets that each server has, moves under way included.
    /// @param bucketCount Buckets of the table.
    /// @param now The time.
    /// @return Buckets for each accepting server; empty when no server accepts.
    std::map<server_id, uint32_t> quotas(std::vector<planner_server> const& servers,
        std::map<server_id, uint32_t> const& counts, uint32_t bucketCount, monotonic_time now);

    /// @param servers The servers.
    /// @param now The time.
    /// @return Whether only conditions and weights can change the quotas: no server is in its cold start, or
    ///     reduced for its connections or about to be.
    bool isSteady(std::vector<planner_server> const& servers, monotonic_time now) const;

private:
    struct limit_state {
        double factor = 1.0;
        monotonic_time changedAt;
    };

    double limitFactor(planner_server const& server, monotonic_time now);
    double coldStartFactor(planner_server const& server, monotonic_time now) const;
    std::map<server_id, double> effectiveWeights(std::vector<planner_server> const& servers,
        std::map<server_id, uint32_t> const& counts, uint32_t bucketCount, monotonic_time now);

    planner_settings m_settings;
    std::map<server_id, limit_state> m_limits;
};

} // namespace bilberryyard
