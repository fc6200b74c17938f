#pragma once

#include <Routing/planner_types.h>
#include <cstdint>
#include <map>
#include <vector>

namespace bilberryyard {

/// Computes the number of buckets of each server of a service from the servers' weights and conditions. Keeps by how
/// much a server close to its connection limit was reduced, so that its share recovers slowly and does not oscillate.
class share_calculator {
public:
    explicit share_calculator(planner_settings const& settings);

    /// Computes how many buckets each server should have. The quotas add up to the number of buckets and differ from
    /// the exact shares by less than one. A server that already has its share rounded up keeps it, so that no bucket
    /// moves because of rounding.
    /// @param counts Number of buckets of each server once the moves in progress are complete.
    /// @param bucketCount Number of buckets of the table.
    /// @return Number of buckets for each accepting server; empty when no server accepts.
    std::map<server_id, uint32_t> quotas(std::vector<planner_server> const& servers,
        std::map<server_id, uint32_t> const& counts, uint32_t bucketCount, monotonic_time now);

    /// @return Whether the quotas depend only on conditions and weights. This is false while a server is in its cold
    ///     start, close to its connection limit, or still reduced because it was.
    bool isSteady(std::vector<planner_server> const& servers, monotonic_time now) const;

private:
    struct connection_limit_state {
        double factor = 1.0;
        monotonic_time changedAt;
    };

    double connectionLimitFactor(planner_server const& server, monotonic_time now);
    double coldStartFactor(planner_server const& server, monotonic_time now) const;
    std::map<server_id, double> effectiveWeights(std::vector<planner_server> const& servers,
        std::map<server_id, uint32_t> const& counts, uint32_t bucketCount, monotonic_time now);

    planner_settings m_settings;
    std::map<server_id, connection_limit_state> m_connectionLimitStates;
};

} // namespace bilberryyard
