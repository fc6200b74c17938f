#include <Coordination/table_follower.h>

#include <Coordination/table_transfer.h>

namespace bilberryyard {

table_update table_follower::setServices(std::map<service_id, uint32_t> const& bucketCounts)
{
    auto update = table_update::None;
    auto const isGone = [&](auto const& item) { return !bucketCounts.contains(item.first); };
    if (std::erase_if(m_tables, isGone) > 0)
        update = table_update::Changed;
    std::erase_if(m_shared, isGone);
    std::erase_if(m_versions, isGone);
    for (auto const& [service, count] : bucketCounts) {
        if (m_tables.contains(service))
            continue;
        store({ bucket_table(service, count), {} });
        update = table_update::Changed;
    }
    return update;
}

void table_follower::store(replicated_table const& table)
{
    auto const service = table.table.service();
    m_tables.insert_or_assign(service, table);
    m_shared[service] = std::make_shared<bucket_table const>(table.table);
}

table_update table_follower::apply(delta_message const& message)
{
    if (m_followed != message.planner)
        return table_update::None;
    auto const service = message.delta.service;
    auto const held = m_tables.find(service);
    if (held == m_tables.end()) {
        // The planner knows a service of a newer configuration.
        unfollow();
        return table_update::None;
    }
    auto const version = m_versions[service];
    if (message.delta.version <= version)
        return table_update::None;
    if (message.delta.version != version + 1) {
        unfollow();
        return table_update::None;
    }
    replicated_table next { held->second.table.withDelta(message.delta), held->second.lineage };
    next.lineage.versions[message.planner] = message.delta.version;
    store(next);
    m_versions[service] = message.delta.version;
    return table_update::Changed;
}

table_update table_follower::apply(table_answer const& answer)
{
    if (!answer.wanted.empty())
        return table_update::None;
    auto update = table_update::None;
    std::map<service_id, uint64_t> versions;
    for (auto const& confirmed : answer.confirmed) {
        auto const held = m_tables.find(confirmed.service);
        if (held == m_tables.end())
            continue;
        store({ held->second.table.withDelta({ confirmed.service, confirmed.version, {} }),
            held->second.lineage.joinedWith(confirmed.lineage) });
        versions[confirmed.service] = confirmed.version;
    }
    for (auto const& transfer : answer.tables) {
        auto const table = fromTransfer(transfer);
        if (!table.ok() || !m_tables.contains(transfer.snapshot.service))
            continue;
        store(*table);
        versions[transfer.snapshot.service] = transfer.snapshot.version;
        update = table_update::Changed;
    }
    m_versions = std::move(versions);
    m_followed = answer.planner;
    return update;
}

void table_follower::adopt(routed_peer self, replicated_table const& table)
{
    store(table);
    m_followed = self;
    m_versions[table.table.service()] = table.table.version();
}

table_request table_follower::request(uint64_t epoch) const
{
    table_request result { epoch, {} };
    for (auto const& [service, table] : m_tables)
        result.held.push_back(summaryOf(table));
    return result;
}

table_offer table_follower::offer(std::vector<service_id> const& wanted) const
{
    table_offer result;
    for (auto const service : wanted) {
        auto const table = m_tables.find(service);
        if (table != m_tables.end())
            result.tables.push_back(toTransfer(table->second));
    }
    return result;
}

table_acknowledgement table_follower::acknowledgement() const
{
    if (!m_followed)
        return {};
    return { *m_followed, m_versions };
}

} // namespace bilberryyard
