#include "scripted_planner.h"

#include <algorithm>

namespace bilberryyard {

ip_address benchmarkAddress(service_id service) { return ip_address::fromIpv4(0xC6336400U + service.value); }

scripted_planner::scripted_planner(
    std::map<service_id, uint32_t> const& serverCounts, uint32_t hosts, uint32_t bucketCount, uint8_t witnessCount)
    : m_witnessCount(witnessCount)
{
    for (uint32_t id = 1; id <= hosts; ++id)
        addHost(host_id { id });
    for (auto const& [service, count] : serverCounts) {
        for (uint32_t number = 1; number <= count; ++number) {
            server_id const server { service.value * 100 + number };
            m_servers[service].insert(server);
            m_conditions[server] = { server, server_condition::Accepting, 0, 0, 0 };
        }
        m_plans[service] = { std::vector<server_id>(bucketCount, noServer), std::vector<uint64_t>(bucketCount),
            std::vector<uint64_t>(bucketCount) };
        rebalance(service);
        table_delta delta { service, 1, {} };
        for (uint32_t index = 0; index < bucketCount; ++index) {
            auto const server = m_plans[service].targets[index];
            delta.changes.push_back({ server, server, bucket_phase::Stable, {}, { 1, host_id { 1 } }, { index } });
        }
        m_tables.emplace(service, bucket_table(service, bucketCount).withDelta(delta));
    }
}

void scripted_planner::join(service_id service, server_id server)
{
    m_servers[service].insert(server);
    m_conditions[server] = { server, server_condition::Accepting, 0, 0, 0 };
    rebalance(service);
}

void scripted_planner::drain(service_id service, server_id server)
{
    m_servers[service].erase(server);
    m_conditions[server].condition = server_condition::Closed;
    rebalance(service);
}

void scripted_planner::removeHost(host_id host) { m_hosts.erase(host); }

void scripted_planner::addHost(host_id host) { m_hosts[host] = ++m_lastIncarnation[host]; }

// Moves as few buckets as possible, so that the numbers of buckets of any two servers differ by at most one.
void scripted_planner::rebalance(service_id service)
{
    auto& targets = m_plans[service].targets;
    auto const& servers = m_servers[service];
    auto const share = targets.size() / servers.size();
    auto extra = targets.size() % servers.size();
    std::map<server_id, size_t> assigned;
    for (auto const server : servers)
        assigned[server] = 0;
    std::vector<uint32_t> unassigned;
    for (uint32_t index = 0; index < targets.size(); ++index) {
        auto const found = assigned.find(targets[index]);
        bool const keeps = found != assigned.end() && (found->second < share || (found->second == share && extra > 0));
        if (!keeps) {
            unassigned.push_back(index);
            continue;
        }
        if (found->second == share)
            --extra;
        ++found->second;
    }
    for (auto& [server, count] : assigned) {
        while (!unassigned.empty() && (count < share || (count == share && extra > 0))) {
            if (count == share)
                --extra;
            targets[unassigned.back()] = server;
            unassigned.pop_back();
            ++count;
        }
    }
}

bool scripted_planner::step(std::function<bool(service_id, uint64_t)> const& allHostsHave,
    std::function<bool(transfer_order const&)> const& transfer)
{
    bool changed = false;
    for (auto& [service, table] : m_tables) {
        table_delta delta { service, table.version() + 1, {} };
        for (uint32_t index = 0; index < table.bucketCount(); ++index) {
            auto const before = delta.changes.size();
            changeBucket(service, index, delta, allHostsHave);
            if (delta.changes.size() == before)
                repairWitnesses(service, index, delta, allHostsHave, transfer);
        }
        if (delta.changes.empty())
            continue;
        table = table.withDelta(delta);
        m_deltas.push_back(std::move(delta));
        changed = true;
    }
    return changed;
}

void scripted_planner::changeBucket(service_id service, uint32_t index, table_delta& delta,
    std::function<bool(service_id, uint64_t)> const& allHostsHave)
{
    auto const& table = m_tables.at(service);
    auto const& value = table.at(index);
    auto& plan = m_plans[service];
    auto const target = plan.targets[index];
    table_stamp const stamp { delta.version, host_id { 1 } };
    if (value.current == target)
        return;
    if (value.phase == bucket_phase::Stable) {
        plan.trackedVersion[index] = delta.version;
        delta.changes.push_back(
            { value.current, value.base, bucket_phase::Tracked, witnessesFor(index), stamp, { index } });
    } else if (allHostsHave(service, plan.trackedVersion[index])) {
        delta.changes.push_back({ target, value.base, value.phase, table.witnessesOf(value), stamp, { index } });
    }
}

void scripted_planner::repairWitnesses(service_id service, uint32_t index, table_delta& delta,
    std::function<bool(service_id, uint64_t)> const& allHostsHave,
    std::function<bool(transfer_order const&)> const& transfer)
{
    auto const& table = m_tables.at(service);
    auto const& value = table.at(index);
    if (value.phase != bucket_phase::Tracked)
        return;
    auto set = table.witnessesOf(value);
    auto& group = set.groups[0];
    auto* const end = group.witnesses.begin() + group.count;
    auto* const runningEnd = std::stable_partition(
        group.witnesses.begin(), end, [this](witness const& member) { return isRunning(member); });
    auto const survivors = static_cast<uint8_t>(runningEnd - group.witnesses.begin());
    auto& fillingVersion = m_plans[service].fillingVersion[index];
    // If no complete witness is left, the flow entries of the bucket are lost. It gets new witnesses, so that its
    // flows without an entry are still served.
    if (std::none_of(group.witnesses.begin(), runningEnd,
            [](witness const& member) { return member.state == witness_state::Complete; })) {
        delta.changes.push_back({ value.current, value.base, value.phase, witnessesFor(index),
            { delta.version, host_id { 1 } }, { index } });
        return;
    }
    auto const filling = std::find_if(
        group.witnesses.begin(), end, [](witness const& member) { return member.state == witness_state::Filling; });
    if (survivors < group.count) {
        std::fill(runningEnd, group.witnesses.end(), witness {});
        group.count = survivors;
        for (auto const& [host, incarnation] : m_hosts) {
            auto const* const last = group.witnesses.begin() + group.count;
            auto const* const same = std::find_if(
                group.witnesses.cbegin(), last, [id = host](witness const& existing) { return existing.host == id; });
            bool const isWitness = same != last;
            if (!isWitness && group.count < m_witnessCount)
                group.witnesses[group.count++] = { host, incarnation, witness_state::Filling };
        }
        fillingVersion = delta.version;
    } else if (filling != end && group.witnesses[0].state == witness_state::Complete
        && allHostsHave(service, fillingVersion)) {
        for (auto* member = filling; member != end; ++member) {
            bool const fills = member->state == witness_state::Filling;
            if (fills && transfer({ service, index, group.witnesses[0].host, member->host }))
                member->state = witness_state::Complete;
        }
    } else {
        return;
    }
    delta.changes.push_back(
        { value.current, value.base, value.phase, set, { delta.version, host_id { 1 } }, { index } });
}

bool scripted_planner::isRunning(witness const& member) const
{
    auto const found = m_hosts.find(member.host);
    return found != m_hosts.end() && found->second == member.incarnation;
}

witness_set scripted_planner::witnessesFor(uint32_t index) const
{
    witness_set set;
    set.count = 1;
    auto& group = set.groups[0];
    std::vector<std::pair<host_id, uint32_t>> const hosts(m_hosts.begin(), m_hosts.end());
    for (size_t number = 0; number < std::min<size_t>(m_witnessCount, hosts.size()); ++number) {
        auto const& [host, incarnation] = hosts[(index + number) % hosts.size()];
        group.witnesses[group.count++] = { host, incarnation, witness_state::Complete };
    }
    return set;
}

routing_view scripted_planner::viewOf(host_id self) const
{
    routing_view view;
    view.self = { self, m_hosts.at(self) };
    for (auto const& [host, incarnation] : m_hosts) {
        if (host != self)
            view.peers.push_back({ host, incarnation });
    }
    for (auto const& [service, table] : m_tables) {
        view.endpoints.push_back({ benchmarkAddress(service), 80, ip_protocol::Tcp, service });
        view.tables[service] = std::make_shared<bucket_table const>(table);
    }
    view.servers = m_conditions;
    view.hashSeed = 17;
    return view;
}

} // namespace bilberryyard
