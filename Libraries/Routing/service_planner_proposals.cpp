#include <Routing/service_planner.h>

#include <algorithm>

// The changes that service_planner proposes for one bucket.

namespace bilberryyard {

std::optional<service_planner::proposal> service_planner::propose(
    uint32_t index, std::vector<bool> const& repairs) const
{
    auto const& value = m_table.at(index);
    proposal change { change_urgency::Settle, index, value, {} };
    if (value.phase == bucket_phase::Tracked)
        change.witnesses = m_table.witnessesOf(value);
    bool isChanged = false;
    if (m_rollouts[index].isMerged) {
        change.urgency = change_urgency::Urgent;
        isChanged = true;
    }
    if (change.value.phase == bucket_phase::Tracked)
        proposeWitnesses(change, isChanged, repairs);
    proposeServer(change, isChanged);
    if (!isChanged && maySettle(index))
        proposeSettling(change, isChanged);
    if (!isChanged)
        return std::nullopt;
    return change;
}

void service_planner::proposeWitnesses(proposal& change, bool& isChanged, std::vector<bool> const& repairs) const
{
    auto set = change.witnesses;
    if (auto const demoted = m_demoted.find(change.index); demoted != m_demoted.end()) {
        for (auto const& host : demoted->second)
            set = m_selector->demoted(set, host);
    }
    if (auto const filled = m_filled.find(change.index); filled != m_filled.end()) {
        for (auto const& reporter : filled->second)
            set = witness_selector::completed(set, reporter);
    }
    if (set != change.witnesses || repairs[m_table.at(change.index).witnessSet]) {
        if (m_selector->hasLostRecordingGroup(set))
            change.urgency = change_urgency::Urgent;
        set = m_selector->repaired(set, change.index);
    }
    if (set == change.witnesses)
        return;
    change.witnesses = set;
    change.urgency = std::min(change.urgency, change_urgency::Repair);
    isChanged = true;
}

void service_planner::proposeServer(proposal& change, bool& isChanged) const
{
    auto const& rollout = m_rollouts[change.index];
    auto& value = change.value;
    if (rollout.destination == noServer || rollout.isMerged)
        return;
    bool const isForced = !accepts(value.current);
    if (value.phase == bucket_phase::Tracked) {
        // Second phase. It must wait until every live host treats the bucket as tracked, because the others would still
        // send new flows to the old server.
        if (!isAcknowledged(rollout.trackedAt))
            return;
        value.current = rollout.destination;
    } else if (value.current != noServer) {
        value.phase = bucket_phase::Tracked;
        change.witnesses = m_selector->select(change.index);
    } else if (m_traffic == service_traffic::Stream && m_isFullView && isAcknowledged(rollout.changedAt)) {
        value.current = value.base = rollout.destination;
    } else {
        // The remote side of a partition may assign the bucket too, so it must not get a base yet.
        value.current = rollout.destination;
        value.phase = bucket_phase::Tracked;
        change.witnesses = m_selector->select(change.index);
    }
    change.urgency = std::min(change.urgency, isForced ? change_urgency::Urgent : change_urgency::Balance);
    isChanged = true;
}

bool service_planner::maySettle(uint32_t index) const
{
    auto const& value = m_table.at(index);
    auto const& rollout = m_rollouts[index];
    if (m_traffic != service_traffic::Stream || value.phase != bucket_phase::Tracked || !m_isFullView)
        return false;
    bool const coversIdleTimeout
        = rollout.witnessesUnchangedSince && m_now - *rollout.witnessesUnchangedSince >= m_settings.flowIdleTimeout;
    if (value.base != value.current && !coversIdleTimeout)
        return false;
    if (rollout.isMerged || rollout.destination != noServer || !isAcknowledged(rollout.changedAt))
        return false;
    auto const reports = m_settled.find(index);
    if (reports == m_settled.end() || !accepts(value.current))
        return false;
    auto const& set = m_table.witnessesOf(value);
    for (uint8_t group = 0; group < set.count; ++group) {
        for (uint8_t position = 0; position < set.groups[group].count; ++position) {
            auto const& member = set.groups[group].witnesses[position];
            if (member.state == witness_state::Complete
                && !reports->second.contains({ member.host, member.incarnation }))
                return false;
        }
    }
    return true;
}

void service_planner::proposeSettling(proposal& change, bool& isChanged) const
{
    // The base changes first, while every host still treats the bucket as tracked. A host that treats it as stable
    // forwards new flows without the witnesses, and witnesses must not resolve those flows to the old base.
    if (change.value.base != change.value.current) {
        change.value.base = change.value.current;
    } else {
        change.value.phase = bucket_phase::Stable;
        change.witnesses = {};
    }
    isChanged = true;
}

} // namespace bilberryyard
