#pragma once

#include <Coordination/coordinator_settings.h>
#include <Coordination/flow_state.h>
#include <Routing/bucket_table.h>
#include <map>
#include <optional>
#include <vector>

namespace bilberryyard {

/// Walks through the tracked buckets of a service that this host is a complete witness of, and asks the
/// flow router which of them can settle (docs/design.md section 3.2).
class settle_scanner {
public:
    /// @param self This host.
    /// @param bucketsPerStep Buckets to visit in one step.
    settle_scanner(routed_peer self, uint32_t bucketsPerStep);

    /// Visits the next buckets.
    /// @param table The table.
    /// @param flowIdleTimeout Time for which a bucket must have been unchanged.
    /// @param now The time.
    /// @return Commands for the flow router, one for each stamp.
    std::vector<settle_command> step(
        bucket_table const& table, std::chrono::milliseconds flowIdleTimeout, monotonic_time now);

private:
    struct bucket_memory {
        table_stamp stamp;
        monotonic_time seenAt;
        /// When the bucket was last put into a command. Reports can be lost, so they are repeated.
        std::optional<monotonic_time> offeredAt;
    };

    routed_peer m_self;
    uint32_t m_bucketsPerStep;
    uint32_t m_next = 0;
    std::vector<bucket_memory> m_memory;
};

} // namespace bilberryyard
