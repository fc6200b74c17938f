#pragma once

#include <Coordination/coordinator_settings.h>
#include <Coordination/flow_state.h>
#include <Routing/bucket_table.h>
#include <map>
#include <optional>
#include <vector>

namespace bilberryyard {

/// Visits the tracked buckets of a service in which this host is a complete witness, and queries the flow router for
/// those that can settle (docs/design.md section 3.2).
class settle_scanner {
public:
    /// @param bucketsPerStep Number of buckets to visit in one step.
    settle_scanner(routed_peer self, uint32_t bucketsPerStep);

    /// Visits the next buckets.
    /// @param flowIdleTimeout How long a bucket must have been unchanged.
    /// @return Commands for the flow router, one for each stamp.
    std::vector<settle_command> step(
        bucket_table const& table, std::chrono::milliseconds flowIdleTimeout, monotonic_time now);

private:
    struct bucket_history {
        table_stamp stamp;
        monotonic_time unchangedSince;
        /// When the bucket was last part of a command. Commands are repeated, because the resulting reports can be
        /// lost.
        std::optional<monotonic_time> lastCommandAt;
    };

    routed_peer m_self;
    uint32_t m_bucketsPerStep;
    uint32_t m_next = 0;
    std::vector<bucket_history> m_history;
};

} // namespace bilberryyard
