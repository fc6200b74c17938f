#pragma once

#include <Coordination/coordination_message.h>
#include <Coordination/coordinator_settings.h>
#include <Coordination/flow_state.h>
#include <map>
#include <optional>
#include <vector>

namespace bilberryyard {

/// Fetches the explicit entries of the buckets in which this host is a filling witness, in batches of bounded size. The
/// filling host requests each batch, so a lost message only causes a repeated request.
class witness_filler {
public:
    explicit witness_filler(coordinator_settings const& settings);

    /// Updates the buckets to fetch after a change of a service's table.
    void update(bucket_table const& table);

    /// Discards the state of a removed service.
    void remove(service_id service);

    /// Handles a response.
    /// @return The entries to add, if the response matches the last request.
    std::optional<import_command> receive(host_id sender, fill_response const& response);

    /// @return The next request, if one is due.
    std::vector<outgoing_message> step(monotonic_time now);

    /// @return Reports of the transfers that have ended since the last call. At intervals also of all earlier ones that
    ///     the planner has not acted on, because a report may have been lost.
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
    /// Buckets to fetch, grouped by service and source; the first transfer is the active one.
    std::vector<transfer> m_transfers;
    /// Fetched buckets by service in which this host is still a filling witness; they are reported again.
    std::map<service_id, std::vector<uint32_t>> m_fetched;
    std::vector<filled_report> m_filled;
    std::optional<monotonic_time> m_requestedAt;
    std::optional<monotonic_time> m_reportedAt;
};

} // namespace bilberryyard
