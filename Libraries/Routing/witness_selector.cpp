#include <Routing/witness_selector.h>

#include <Base/hashing.h>
#include <algorithm>

namespace bilberryyard {

namespace {

    void append(witness_group& group, planner_host const& host, witness_state state)
    {
        group.witnesses[group.count++] = { host.peer.host, host.peer.incarnation, state };
    }

    bool hasComplete(witness_group const& group)
    {
        return std::any_of(group.witnesses.begin(), group.witnesses.begin() + group.count,
            [](witness const& member) { return member.state == witness_state::Complete; });
    }

    template <typename Predicate>
    witness_group filtered(witness_group const& group, Predicate keep)
    {
        witness_group result;
        for (uint8_t index = 0; index < group.count; ++index) {
            if (keep(group.witnesses[index]))
                result.witnesses[result.count++] = group.witnesses[index];
        }
        return result;
    }

} // namespace

witness_selector::witness_selector(service_id service, planner_settings const& settings,
    std::vector<planner_host> const& hosts, std::set<host_id> const& configuredHosts)
    : m_seed(hashPair(service.value, 0x7769746e657373))
    , m_settings(settings)
    , m_hosts(hosts)
    , m_configured(configuredHosts)
{
    // A host without the planner's table relays all packets, so it cannot act as primary.
    std::copy_if(hosts.begin(), hosts.end(), std::back_inserter(m_candidates),
        [&](planner_host const& host) { return !host.isLeaving && host.acknowledged.contains(service); });
}

witness_set witness_selector::select(uint32_t index) const
{
    witness_set result;
    witness_group group;
    while (group.count < m_settings.witnessCount) {
        auto const* host = choose(index, {}, group);
        if (!host)
            break;
        append(group, *host, witness_state::Complete);
    }
    // The planner always has its table, so it is a candidate unless it is leaving. Without any candidate, the first
    // live host becomes the witness even when it is leaving.
    if (group.count == 0 && !m_hosts.empty())
        append(group, m_hosts.front(), witness_state::Complete);
    result.groups[0] = group;
    result.count = 1;
    return result;
}

bool witness_selector::needsRepair(witness_set const& set) const
{
    if (set.count == 0 || isUnreachable(set.groups[0]))
        return true;
    for (uint8_t index = 0; index < set.count; ++index) {
        auto const& group = set.groups[index];
        if (repairedGroup(group) != group || needsFillingWitness(set, group))
            return true;
    }
    return false;
}

bool witness_selector::hasLostRecordingGroup(witness_set const& set) const
{
    if (set.count == 0)
        return true;
    auto const& group = set.groups[0];
    return std::none_of(group.witnesses.begin(), group.witnesses.begin() + group.count, [&](witness const& member) {
        return member.state == witness_state::Complete && reachabilityOf(member) == reachability::Live;
    });
}

witness_set witness_selector::repaired(witness_set const& set, uint32_t index) const
{
    witness_set result;
    for (uint8_t source = 0; source < set.count; ++source) {
        auto const group = repairedGroup(set.groups[source]);
        if (group.count > 0)
            result.groups[result.count++] = group;
    }
    if (result.count == 0 || isUnreachable(result.groups[0])) {
        auto const kept = std::min<uint8_t>(result.count, maximumWitnessGroups - 1);
        std::copy_backward(result.groups.begin(), result.groups.begin() + kept, result.groups.begin() + kept + 1);
        result.groups[0] = select(index).groups[0];
        result.count = kept + 1;
    }
    for (uint8_t groupIndex = 0; groupIndex < result.count; ++groupIndex)
        addFillingWitnesses(result, groupIndex, index);
    return result;
}

witness_set witness_selector::completed(witness_set const& set, routed_peer reporter)
{
    witness_set result = set;
    for (uint8_t group = 0; group < result.count; ++group) {
        for (uint8_t index = 0; index < result.groups[group].count; ++index) {
            auto& member = result.groups[group].witnesses[index];
            if (member.host == reporter.host && member.incarnation == reporter.incarnation)
                member.state = witness_state::Complete;
        }
    }
    return result;
}

witness_set witness_selector::demoted(witness_set const& set, routed_peer member) const
{
    witness_set result = set;
    for (uint8_t group = 0; group < result.count; ++group) {
        auto& members = result.groups[group];
        auto const end = members.witnesses.begin() + members.count;
        bool const hasOther = std::any_of(members.witnesses.begin(), end, [&](witness const& other) {
            return other.host != member.host && other.state == witness_state::Complete
                && reachabilityOf(other) == reachability::Live;
        });
        for (auto value = members.witnesses.begin(); hasOther && value != end; ++value) {
            if (value->host == member.host && value->incarnation == member.incarnation)
                value->state = witness_state::Filling;
        }
    }
    return result;
}

bool witness_selector::containsHost(witness_set const& set, host_id host)
{
    for (uint8_t group = 0; group < set.count; ++group) {
        for (uint8_t index = 0; index < set.groups[group].count; ++index) {
            if (set.groups[group].witnesses[index].host == host)
                return true;
        }
    }
    return false;
}

planner_host const* witness_selector::hostOf(witness const& member) const
{
    auto const found = std::find_if(
        m_hosts.begin(), m_hosts.end(), [&](planner_host const& host) { return host.peer.host == member.host; });
    return found == m_hosts.end() ? nullptr : &*found;
}

witness_selector::reachability witness_selector::reachabilityOf(witness const& member) const
{
    if (auto const* host = hostOf(member))
        return host->peer.incarnation == member.incarnation ? reachability::Live : reachability::Lost;
    return m_configured.contains(member.host) ? reachability::Unresponsive : reachability::Lost;
}

bool witness_selector::isUsable(witness const& member) const
{
    auto const* host = hostOf(member);
    return host && host->peer.incarnation == member.incarnation && !host->isLeaving;
}

bool witness_selector::isUnreachable(witness_group const& group) const
{
    return std::none_of(group.witnesses.begin(), group.witnesses.begin() + group.count,
        [&](witness const& member) { return reachabilityOf(member) == reachability::Live; });
}

witness_group witness_selector::repairedGroup(witness_group const& group) const
{
    auto const known
        = filtered(group, [&](witness const& member) { return reachabilityOf(member) != reachability::Lost; });
    if (isUnreachable(known))
        return known;
    auto live = filtered(known, [&](witness const& member) { return reachabilityOf(member) == reachability::Live; });
    if (!hasComplete(live)) {
        for (uint8_t index = 0; index < live.count; ++index)
            live.witnesses[index].state = witness_state::Complete;
    }
    bool const canReleaseLeaving = std::any_of(live.witnesses.begin(), live.witnesses.begin() + live.count,
        [&](witness const& member) { return member.state == witness_state::Complete && isUsable(member); });
    return filtered(live, [&](witness const& member) {
        return isUsable(member) || (!canReleaseLeaving && member.state == witness_state::Complete);
    });
}

uint8_t witness_selector::countUsable(witness_group const& group) const
{
    return filtered(group, [&](witness const& member) { return isUsable(member); }).count;
}

bool witness_selector::needsFillingWitness(witness_set const& set, witness_group const& group) const
{
    if (isUnreachable(group) || group.count == maximumWitnesses || countUsable(group) >= m_settings.witnessCount)
        return false;
    return std::any_of(m_candidates.begin(), m_candidates.end(),
        [&](planner_host const& host) { return !containsHost(set, host.peer.host); });
}

void witness_selector::addFillingWitnesses(witness_set& set, uint8_t groupIndex, uint32_t index) const
{
    auto& group = set.groups[groupIndex];
    while (needsFillingWitness(set, group))
        append(group, *choose(index, set, group), witness_state::Filling);
}

planner_host const* witness_selector::choose(
    uint32_t index, witness_set const& excluded, witness_group const& group) const
{
    auto const sharesZone = [&](planner_host const& host) {
        return std::any_of(group.witnesses.begin(), group.witnesses.begin() + group.count, [&](witness const& member) {
            auto const* other = hostOf(member);
            return other && other->zone == host.zone;
        });
    };
    planner_host const* best = nullptr;
    std::pair<bool, uint64_t> bestScore;
    witness_set own;
    own.groups[0] = group;
    own.count = 1;
    for (auto const& host : m_candidates) {
        if (containsHost(excluded, host.peer.host) || containsHost(own, host.peer.host))
            continue;
        std::pair const score { !sharesZone(host), hashPair(m_seed ^ index, host.peer.host.value) };
        if (!best || score > bestScore) {
            best = &host;
            bestScore = score;
        }
    }
    return best;
}

} // namespace bilberryyard
