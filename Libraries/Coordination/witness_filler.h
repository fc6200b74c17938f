#pragma once

#include <Coordination/coordination_message.h>
#include <Coordination/coordinator_settings.h>
#include <Coordination/flow_state.h>
#include <map>
#include <optional>
#include <vector>

namespace bilberryyard {

/// Fetches the explicit entries of the buckets that this host fills, one bounded part at a time. The
/// filling host sets the pace, so a lost message only costs a repetition.
class witness_filler {
public:
    /// @param settings Pace and batch size.
    explicit witness_filler(coordinator_settings const& settings);

    /// Looks for buckets in which this host is a filling witness.
    /// @param table A service's table, after a change.
    void update(bucket_table const& table);

    /// @param service A service that is gone.
    void remove(service_id service);

    /// Takes a part.
    /// @param sender Who sent it.
    /// @param answer The part.
    /// @return The entries to add, when the part was the awaited one.
    std::optional<import_command> receive(host_id sender, fill_response const& answer);

    /// @param now The time.
    /// @return The next request, when one is due.
    std::vector<outgoing_message> step(monotonic_time now);

    /// @param now The time.
    /// @return Reports of transfers that have ended since the last call, and from time to time of all that
    /// the planner has not acted on, because a report may have been lost.
    std::vector<filled_report> drainFilledReports(monotonic_time now);

private:
    struct transfer {
        service_id service;
        host_id source;
        std::vector<uint32_t> buckets;
        transfer_cursor cursor;
        auto operator<=>(transfer const&) const = default;
    };

    void addTransfer(service_id service, host_id source, std::vector<uint32_t> buckets);

    coordinator_settings m_settings;
    /// Per service and source, the buckets to fetch; the first transfer is the active one.
    std::vector<transfer> m_transfers;
    /// Buckets that have been fetched, by service; a planner that missed the report hears of them again.
    std::map<service_id, std::vector<uint32_t>> m_fetched;
    std::vector<filled_report> m_filled;
    std::optional<monotonic_time> m_requestedAt;
    std::optional<monotonic_time> m_reportedAt;
};

} // namespace bilberryyard
