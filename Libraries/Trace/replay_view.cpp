#include <Trace/replay_view.h>

namespace bilberryyard {

namespace {

    std::shared_ptr<bucket_table const> withoutTracking(bucket_table const& table)
    {
        auto delta = table.snapshot();
        for (auto& change : delta.changes) {
            change.phase = bucket_phase::Stable;
            change.base = change.current;
            change.witnesses = {};
        }
        return std::make_shared<bucket_table const>(
            bucket_table(table.service(), table.bucketCount()).withDelta(delta));
    }

    void shareFirstTable(routing_view& view)
    {
        if (view.tables.empty())
            return;
        for (auto& endpoint : view.endpoints)
            endpoint.service = view.tables.begin()->first;
    }

} // namespace

std::shared_ptr<forwarding_view const> withoutMechanisms(
    std::shared_ptr<forwarding_view const> const& view, replay_options const& options)
{
    if (options.disabled.empty())
        return view;
    auto routing = std::make_shared<routing_view>(*view->routing);
    if (options.isDisabled(replay_mechanism::SynchronisationCheck)) {
        routing->state = synchronisation::Synchronised;
        routing->synchronisedUntil = monotonic_time::max();
    }
    if (options.isDisabled(replay_mechanism::ServiceSeparation))
        shareFirstTable(*routing);
    if (options.isDisabled(replay_mechanism::Tracking)) {
        for (auto& [service, table] : routing->tables)
            table = withoutTracking(*table);
    }
    auto changed = std::make_shared<forwarding_view>(*view);
    changed->routing = std::move(routing);
    return changed;
}

} // namespace bilberryyard
