#include <Routing/service_routes.h>

#include <algorithm>

namespace bilberryyard {

namespace {

    std::vector<server_id> currentServersOf(bucket_table const& table)
    {
        std::vector<server_id> servers;
        for (uint32_t index = 0; index < table.bucketCount(); ++index) {
            auto const server = table.at(index).current;
            if (server != noServer && (servers.empty() || servers.back() != server))
                servers.push_back(server);
        }
        std::sort(servers.begin(), servers.end());
        servers.erase(std::unique(servers.begin(), servers.end()), servers.end());
        return servers;
    }

    bool isWitness(witness_set const& set, routed_peer const& self)
    {
        return hasRole(set, self, witness_state::Complete) || hasRole(set, self, witness_state::Filling);
    }

} // namespace

std::vector<uint32_t> service_routes::setView(routing_view const& view)
{
    std::vector<uint32_t> voidedBuckets;
    auto const found = view.tables.find(m_service);
    auto const next = found == view.tables.end() ? nullptr : found->second;
    if (next && (next != m_table || view.self != m_self)) {
        if (m_history.size() != next->bucketCount())
            m_history.assign(next->bucketCount(), {});
        for (uint32_t index = 0; index < next->bucketCount(); ++index) {
            if (startsNewWitnessRole(*next, index, view.self))
                voidedBuckets.push_back(index);
            recordChange(*next, index);
        }
        m_currentServers = currentServersOf(*next);
    }
    m_self = view.self;
    m_table = next;
    m_witnessViews.clear();
    if (m_table) {
        for (auto const& set : m_table->witnessSets())
            m_witnessViews.emplace_back(set, view);
    }
    return voidedBuckets;
}

void service_routes::observe(monotonic_time now)
{
    for (auto const index : m_untimedBuckets) {
        auto& history = m_history[index];
        if (history.trackedSince == monotonic_time::max())
            history.trackedSince = now;
        if (history.mergedSince == monotonic_time::max())
            history.mergedSince = now;
    }
    m_untimedBuckets.clear();
}

bool service_routes::startsNewWitnessRole(bucket_table const& next, uint32_t index, routed_peer const& self) const
{
    auto const& now = next.at(index);
    if (now.phase != bucket_phase::Tracked || !isWitness(next.witnessesOf(now), self))
        return false;
    if (!m_table || index >= m_table->bucketCount() || m_self != self)
        return true;
    auto const& before = m_table->at(index);
    if (before.phase != bucket_phase::Tracked || !isWitness(m_table->witnessesOf(before), self))
        return true;
    // If this host was a complete witness and is a filling one now, it lost its role or its synchronisation meanwhile,
    // so its entries are stale.
    return hasRole(m_table->witnessesOf(before), self, witness_state::Complete)
        && !hasRole(next.witnessesOf(now), self, witness_state::Complete);
}

void service_routes::recordChange(bucket_table const& next, uint32_t index)
{
    auto const& now = next.at(index);
    auto& history = m_history[index];
    if (now.phase != bucket_phase::Tracked) {
        history = {};
        return;
    }
    bool const hadTable = m_table && index < m_table->bucketCount();
    // No change is recorded for the host's first table, because the other hosts have tracked the bucket for a while
    // already.
    if (!hadTable)
        return;
    auto const& before = m_table->at(index);
    bool const began = before.phase != bucket_phase::Tracked;
    bool const merged = !began && m_table->witnessesOf(before).count < next.witnessesOf(now).count;
    if (began)
        history.trackedSince = monotonic_time::max();
    if (merged)
        history.mergedSince = monotonic_time::max();
    if (began || merged)
        m_untimedBuckets.push_back(index);
}

} // namespace bilberryyard
