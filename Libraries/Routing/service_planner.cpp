#include <Routing/service_planner.h>

#include <Routing/delta_builder.h>
#include <Routing/move_selector.h>
#include <algorithm>
#include <cmath>
#include <tuple>

namespace bilberryyard {

namespace {

    witness_set witnessesOf(bucket_table const& table, uint32_t index)
    {
        auto const& value = table.at(index);
        return value.phase == bucket_phase::Tracked ? table.witnessesOf(value) : witness_set {};
    }

    bool isSameState(
        bucket const& first, witness_set const& firstSet, bucket const& second, witness_set const& secondSet)
    {
        return std::tie(first.current, first.base, first.phase, first.stamp, firstSet)
            == std::tie(second.current, second.base, second.phase, second.stamp, secondSet);
    }

    bool isCompleteIn(witness_set const& set, host_id host)
    {
        for (uint8_t group = 0; group < set.count; ++group) {
            for (uint8_t position = 0; position < set.groups[group].count; ++position) {
                auto const& member = set.groups[group].witnesses[position];
                if (member.host == host && member.state == witness_state::Complete)
                    return true;
            }
        }
        return false;
    }

    /// Whether any complete witness of the earlier set is not complete in the later one.
    bool hasLostWitness(witness_set const& before, witness_set const& after)
    {
        for (uint8_t group = 0; group < before.count; ++group) {
            for (uint8_t position = 0; position < before.groups[group].count; ++position) {
                auto const& member = before.groups[group].witnesses[position];
                if (member.state == witness_state::Complete && !isCompleteIn(after, member.host))
                    return true;
            }
        }
        return false;
    }

    uint64_t highestCounterOf(bucket_table const& table)
    {
        uint64_t highest = 0;
        for (uint32_t index = 0; index < table.bucketCount(); ++index)
            highest = std::max(highest, table.at(index).stamp.counter);
        return highest;
    }

} // namespace

service_planner::service_planner(
    planner_settings const& settings, routed_peer self, service_traffic traffic, replicated_table const& start)
    : m_settings(settings)
    , m_self(self)
    , m_traffic(traffic)
    , m_table(start.table)
    , m_lineage(start.lineage)
    , m_shares(settings)
    , m_rollouts(start.table.bucketCount())
    , m_highestCounter(highestCounterOf(start.table))
{
    // At least the highest version of this planner's previous leadership terms, so that an old acknowledgement is not
    // mistaken for one of a version published from now on.
    uint64_t version = m_table.version();
    for (auto const& [planner, last] : m_lineage.versions)
        version = std::max(version, last);
    m_table = m_table.withDelta({ m_table.service(), version, {} });
    for (auto& rollout : m_rollouts)
        rollout.trackedAt = rollout.changedAt = version;
}

void service_planner::offer(replicated_table const& other)
{
    if (other.table.service() != m_table.service() || other.table.bucketCount() != m_table.bucketCount())
        return;
    if (m_lineage.covers(other.lineage))
        return;
    bool const isSuccessor = other.lineage.covers(m_lineage);
    auto const merged = isSuccessor ? other.table : m_table.mergedWith(other.table);
    table_delta rebuilt { m_table.service(), m_table.version(), {} };
    for (uint32_t index = 0; index < m_table.bucketCount(); ++index) {
        auto const& local = m_table.at(index);
        auto const localSet = witnessesOf(m_table, index);
        auto const remoteSet = witnessesOf(other.table, index);
        auto value = merged.at(index);
        auto set = witnessesOf(merged, index);
        if (value.phase == bucket_phase::Tracked) {
            // The local group stays first, because local hosts that have not applied the merge yet still send new
            // flows to it.
            if (!isSuccessor && local.phase == bucket_phase::Tracked)
                set = bucket_table::joinWitnesses(localSet, remoteSet);
            // Local hosts still treat the bucket as stable, so the first phase is required on this side too.
            if (local.phase == bucket_phase::Stable && local.current != noServer && value.current != value.base) {
                m_rollouts[index].destination = value.current;
                value.current = value.base;
            }
        }
        if (!isSameState(local, localSet, value, set))
            replace(index, value, set, rebuilt);
    }
    m_isIdle = false;
    ++m_revision;
    m_highestCounter = std::max(m_highestCounter, highestCounterOf(other.table));
    m_table = m_table.withDelta(rebuilt);
    m_lineage = m_lineage.joinedWith(other.lineage);
}

void service_planner::replace(uint32_t index, bucket value, witness_set const& witnesses, table_delta& rebuilt)
{
    m_rollouts[index].isMerged = true;
    m_settled.erase(index);
    auto const stamp = std::max(value.stamp, m_table.at(index).stamp);
    rebuilt.changes.push_back({ value.current, value.base, value.phase, witnesses, stamp, { index } });
}

void service_planner::settled(settled_report const& report)
{
    for (auto const index : report.buckets) {
        if (index >= m_table.bucketCount())
            continue;
        auto const& value = m_table.at(index);
        if (value.phase == bucket_phase::Tracked && value.stamp == report.stamp && !m_rollouts[index].isMerged)
            m_settled[index].insert(report.reporter);
    }
}

void service_planner::filled(filled_report const& report)
{
    for (auto const index : report.buckets) {
        if (index >= m_table.bucketCount())
            continue;
        auto const set = witnessesOf(m_table, index);
        if (witness_selector::completed(set, report.reporter) != set)
            m_filled[index].insert(report.reporter);
    }
}

void service_planner::recordDesynchronisation(routed_peer host)
{
    m_isIdle = false;
    for (uint32_t index = 0; index < m_table.bucketCount(); ++index) {
        if (witness_selector::containsHost(witnessesOf(m_table, index), host.host)) {
            m_demoted[index].insert(host);
            m_filled[index].erase(host);
        }
    }
}

void service_planner::plan(planner_input const& input)
{
    m_now = input.now;
    updateUnresponsiveHosts(input);
    if (canSkipPlanning(input))
        return;
    readInput(input);
    for (auto& rollout : m_rollouts) {
        if (!rollout.witnessesUnchangedSince)
            rollout.witnessesUnchangedSince = m_now;
    }
    bool const isAssigned = mayAssign();
    if (isAssigned)
        moveToQuotas(input);
    auto const& sets = m_table.witnessSets();
    std::vector<bool> repairs(sets.size());
    for (size_t index = 0; index < sets.size(); ++index)
        repairs[index] = m_selector->needsRepair(sets[index]);
    m_proposals.clear();
    for (uint32_t index = 0; index < m_table.bucketCount(); ++index) {
        if (auto change = propose(index, repairs))
            m_proposals.push_back(*change);
    }
    // Removes the demotions that led to no proposal. The bucket has no other complete witness to receive entries from,
    // so they would have no effect later either.
    std::erase_if(m_demoted, [&](auto const& item) {
        return std::none_of(
            m_proposals.begin(), m_proposals.end(), [&](proposal const& change) { return change.index == item.first; });
    });
    // Equal states share one change, so sorting by state makes room for more buckets when the budget limits the delta.
    std::sort(m_proposals.begin(), m_proposals.end(), [](proposal const& first, proposal const& second) {
        return std::tie(first.urgency, first.value.current, first.witnesses, first.index)
            < std::tie(second.urgency, second.value.current, second.witnesses, second.index);
    });
    updateLeavingHosts(input);
    m_isIdle = isAssigned && isBalanced() && m_proposals.empty() && m_leaving.empty()
        && std::all_of(m_rollouts.begin(), m_rollouts.end(),
            [](rollout_state const& rollout) { return rollout.destination == noServer && !rollout.isMerged; });
}

std::optional<table_delta> service_planner::build(change_urgency minimumUrgency, uint64_t byteLimit)
{
    table_stamp const stamp { m_highestCounter + 1, m_self.host };
    delta_builder builder(m_table.service(), m_table.version() + 1, stamp);
    size_t count = 0;
    for (; count < m_proposals.size() && m_proposals[count].urgency <= minimumUrgency; ++count) {
        auto const& change = m_proposals[count];
        if (builder.bytes() + builder.costOf(change.value, change.witnesses, change.index) > byteLimit)
            break;
        builder.add(change.value, change.witnesses, change.index);
    }
    bool const mustPublishLineage = !m_hasPublished && m_acknowledged && builder.bytes() <= byteLimit;
    if (count == 0 && !mustPublishLineage)
        return std::nullopt;
    m_hasPublished = true;
    auto const end = m_proposals.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<proposal> const published(m_proposals.begin(), end);
    m_proposals.erase(m_proposals.begin(), end);
    auto delta = builder.build();
    apply(delta, published);
    return delta;
}

bool service_planner::isReleased(host_id host) const
{
    auto const entry = m_leaving.find(host);
    return entry != m_leaving.end() && entry->second && isAcknowledged(*entry->second);
}

void service_planner::readInput(planner_input const& input)
{
    auto const service = m_table.service();
    auto hosts = input.hosts;
    m_acknowledged = m_table.version();
    std::set<host_id> live;
    for (auto& host : hosts) {
        live.insert(host.peer.host);
        if (host.peer.host == m_self.host) {
            host.acknowledged[service] = m_table.version();
            continue;
        }
        auto const version = host.acknowledged.find(service);
        if (version == host.acknowledged.end())
            m_acknowledged.reset();
        else if (m_acknowledged)
            m_acknowledged = std::min(*m_acknowledged, version->second);
    }
    m_isFullView = std::includes(live.begin(), live.end(), input.configuredHosts.begin(), input.configuredHosts.end());
    // Without the full view no bucket can settle. A report must not be kept until then, because a reassignment may add
    // an entry meanwhile. Witnesses repeat their reports.
    if (!m_isFullView)
        m_settled.clear();
    m_selector.emplace(service, m_settings, hosts, m_retainedHosts);
    m_servers.clear();
    if (auto const servers = input.servers.find(service); servers != input.servers.end()) {
        for (auto const& server : servers->second)
            m_servers.emplace(server.id, server);
    }
}

void service_planner::updateUnresponsiveHosts(planner_input const& input)
{
    m_retainedHosts = input.configuredHosts;
    for (auto const& host : input.hosts)
        m_unresponsiveSince.erase(host.peer.host);
    for (auto const host : input.configuredHosts) {
        bool const isLive = std::any_of(
            input.hosts.begin(), input.hosts.end(), [&](planner_host const& value) { return value.peer.host == host; });
        if (!isLive
            && m_now - m_unresponsiveSince.try_emplace(host, m_now).first->second >= m_settings.unreachableGroupTimeout)
            m_retainedHosts.erase(host);
    }
}

server_id service_planner::ownerOf(uint32_t index) const
{
    auto const destination = m_rollouts[index].destination;
    return destination != noServer ? destination : m_table.at(index).current;
}

bool service_planner::accepts(server_id server) const
{
    auto const entry = m_servers.find(server);
    return entry != m_servers.end() && entry->second.condition == server_condition::Accepting;
}

bool service_planner::mayAssign()
{
    bool const hasServer
        = std::any_of(m_servers.begin(), m_servers.end(), [&](auto const& item) { return accepts(item.first); });
    if (!hasServer)
        return false;
    if (!m_firstServerAt)
        m_firstServerAt = m_now;
    if (m_now - *m_firstServerAt >= m_settings.firstAssignmentDelay)
        return true;
    for (uint32_t index = 0; index < m_table.bucketCount(); ++index) {
        if (m_table.at(index).current != noServer)
            return true;
    }
    return false;
}

std::map<server_id, uint32_t> service_planner::quotasFor(
    planner_input const& input, std::map<server_id, uint32_t> const& counts)
{
    auto const servers = input.servers.find(m_table.service());
    if (servers == input.servers.end())
        return {};
    return m_shares.quotas(servers->second, counts, m_table.bucketCount(), m_now);
}

bool service_planner::isBalanced() const
{
    // Compares with the quotas because the rate limit may have delayed every move of this step.
    return std::all_of(m_plannedQuotas.begin(), m_plannedQuotas.end(), [&](auto const& quota) {
        auto const count = m_plannedCounts.find(quota.first);
        return quota.second == (count == m_plannedCounts.end() ? 0 : count->second);
    });
}

bool service_planner::canSkipPlanning(planner_input const& input)
{
    auto hosts = input.hosts;
    for (auto& host : hosts) {
        // The choice of witnesses depends only on whether a host has the table, and not on the version.
        bool const isSynchronised = host.acknowledged.contains(m_table.service());
        host.acknowledged.clear();
        if (isSynchronised)
            host.acknowledged.emplace(m_table.service(), 0);
    }
    bool const isSameView = hosts == m_plannedHosts && input.configuredHosts == m_plannedConfiguration
        && m_retainedHosts == m_plannedRetainedHosts;
    m_plannedHosts = std::move(hosts);
    m_plannedConfiguration = input.configuredHosts;
    m_plannedRetainedHosts = m_retainedHosts;
    auto const entry = input.servers.find(m_table.service());
    if (!m_isIdle || !isSameView || !m_settled.empty() || !m_filled.empty() || entry == input.servers.end()) {
        m_isSteady = false;
        return false;
    }
    auto const& servers = entry->second;
    bool const wasSteady = m_isSteady;
    m_isSteady = m_shares.isSteady(servers, m_now);
    bool const isSame = std::equal(servers.begin(), servers.end(), m_plannedServers.begin(), m_plannedServers.end(),
        [](planner_server const& first, planner_server const& second) {
            return first.id == second.id && first.condition == second.condition && first.weight == second.weight;
        });
    // Load reports change the servers frequently, but most of them cannot change a quota.
    if (wasSteady && m_isSteady && isSame)
        return true;
    m_plannedServers = servers;
    return quotasFor(input, m_plannedCounts) == m_plannedQuotas;
}

void service_planner::moveToQuotas(planner_input const& input)
{
    std::vector<server_id> owners(m_table.bucketCount());
    std::map<server_id, uint32_t> counts;
    for (uint32_t index = 0; index < owners.size(); ++index) {
        if (!accepts(m_rollouts[index].destination))
            m_rollouts[index].destination = noServer;
        owners[index] = ownerOf(index);
        ++counts[owners[index]];
    }
    auto const quotas = quotasFor(input, counts);
    m_plannedCounts = counts;
    m_plannedQuotas = quotas;
    if (quotas.empty())
        return;
    double const rate = m_table.bucketCount() * m_settings.movesPerMillePerSecond / 1000.0;
    double const elapsed = m_previousPlan ? std::chrono::duration<double>(m_now - *m_previousPlan).count() : 1.0;
    m_moveAllowance = std::min(rate, m_moveAllowance + rate * elapsed);
    m_previousPlan = m_now;
    move_selector selector(m_table, owners, quotas, *m_selector);
    for (auto const& move : selector.forcedMoves())
        setDestination(move.index, move.server);
    auto const moves = selector.balancingMoves(static_cast<uint32_t>(m_moveAllowance));
    for (auto const& move : moves)
        setDestination(move.index, move.server);
    m_moveAllowance -= static_cast<double>(moves.size());
}

void service_planner::setDestination(uint32_t index, server_id server)
{
    m_rollouts[index].destination = server == m_table.at(index).current ? noServer : server;
}

void service_planner::apply(table_delta const& delta, std::vector<proposal> const& published)
{
    for (auto const& change : published) {
        auto& rollout = m_rollouts[change.index];
        if (rollout.isMerged || hasLostWitness(witnessesOf(m_table, change.index), change.witnesses))
            rollout.witnessesUnchangedSince = m_now;
        bool const wasTracked = m_table.at(change.index).phase == bucket_phase::Tracked && !rollout.isMerged;
        if (!wasTracked)
            rollout.trackedAt = delta.version;
        rollout.changedAt = delta.version;
        rollout.isMerged = false;
        if (rollout.destination == change.value.current)
            rollout.destination = noServer;
        m_settled.erase(change.index);
        m_filled.erase(change.index);
        m_demoted.erase(change.index);
    }
    ++m_highestCounter;
    ++m_revision;
    m_table = m_table.withDelta(delta);
    m_lineage.versions[m_self] = delta.version;
}

void service_planner::updateLeavingHosts(planner_input const& input)
{
    std::map<host_id, std::optional<uint64_t>> leaving;
    for (auto const& host : input.hosts) {
        if (!host.isLeaving)
            continue;
        bool isNamed = false;
        for (uint32_t index = 0; index < m_table.bucketCount() && !isNamed; ++index)
            isNamed = witness_selector::containsHost(witnessesOf(m_table, index), host.peer.host);
        auto const known = m_leaving.find(host.peer.host);
        auto& since = leaving[host.peer.host];
        if (!isNamed)
            since = known != m_leaving.end() && known->second ? known->second : m_table.version();
    }
    m_leaving = std::move(leaving);
}

} // namespace bilberryyard
