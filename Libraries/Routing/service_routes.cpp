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
    std::vector<uint32_t> fresh;
    auto const found = view.tables.find(m_service);
    auto const next = found == view.tables.end() ? nullptr : found->second;
    if (next && (next != m_table || view.self != m_self)) {
        if (m_memory.size() != next->bucketCount())
            m_memory.assign(next->bucketCount(), {});
        for (uint32_t index = 0; index < next->bucketCount(); ++index) {
            if (beginsAnew(*next, index, view.self))
                fresh.push_back(index);
            noteChange(*next, index);
        }
        m_currentServers = currentServersOf(*next);
    }
    m_self = view.self;
    m_table = next;
    m_plans.clear();
    if (m_table) {
        for (auto const& set : m_table->witnessSets())
            m_plans.emplace_back(set, view);
    }
    return fresh;
}

void service_routes::observe(monotonic_time now)
{
    for (auto const index : m_unstamped) {
        auto& memory = m_memory[index];
        if (memory.trackedSince == monotonic_time::max())
            memory.trackedSince = now;
        if (memory.mergedSince == monotonic_time::max())
            memory.mergedSince = now;
    }
    m_unstamped.clear();
}

bool service_routes::beginsAnew(bucket_table const& next, uint32_t index, routed_peer const& self) const
{
    auto const& now = next.at(index);
    if (now.phase != bucket_phase::Tracked || !isWitness(next.witnessesOf(now), self))
        return false;
    if (!m_table || index >= m_table->bucketCount() || m_self != self)
        return true;
    auto const& before = m_table->at(index);
    if (before.phase != bucket_phase::Tracked || !isWitness(m_table->witnessesOf(before), self))
        return true;
    // A complete witness that is filling now was removed meanwhile, so its entries are out of date.
    return hasRole(m_table->witnessesOf(before), self, witness_state::Complete)
        && !hasRole(next.witnessesOf(now), self, witness_state::Complete);
}

void service_routes::noteChange(bucket_table const& next, uint32_t index)
{
    auto const& now = next.at(index);
    auto& memory = m_memory[index];
    if (now.phase != bucket_phase::Tracked) {
        memory = {};
        return;
    }
    bool const known = m_table && index < m_table->bucketCount();
    // A host that starts with a tracked bucket is late: the others have tracked it for a while.
    if (!known)
        return;
    auto const& before = m_table->at(index);
    bool const began = before.phase != bucket_phase::Tracked;
    bool const merged = !began && m_table->witnessesOf(before).count < next.witnessesOf(now).count;
    if (began)
        memory.trackedSince = monotonic_time::max();
    if (merged)
        memory.mergedSince = monotonic_time::max();
    if (began || merged)
        m_unstamped.push_back(index);
}

} // namespace bilberryyard
