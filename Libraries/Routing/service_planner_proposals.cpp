#include <Routing/service_planner.h>

#include <algorithm>

// The state changes that service_planner proposes for one bucket.

namespace bilberryyard {

std::optional<service_planner::proposal> service_planner::propose(
    uint32_t index, std::vector<bool> const& repairs) const
{
    auto const& value = m_table.at(index);
    proposal change { change_urgency::Settle, index, value, {} };
    if (value.phase == bucket_phase::Tracked)
        change.witnesses = m_table.witnessesOf(value);
    bool isChanged = false;
    if (m_memory[index].isMerged) {
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
    auto const& memory = m_memory[change.index];
    auto& value = change.value;
    if (memory.destination == noServer || memory.isMerged)
        return;
    bool const isForced = !accepts(value.current);
    if (value.phase == bucket_phase::Tracked) {
        // Phase two: until every live host relays, some hosts would still send new flows to the old server.
        if (!isAcknowledged(memory.trackedAt))
            return;
        value.current = memory.destination;
    } else if (value.current != noServer) {
        value.phase = bucket_phase::Tracked;
        change.witnesses = m_selector->select(change.index);
    } else if (m_traffic == service_traffic::Stream && m_isFullView && isAcknowledged(memory.changedAt)) {
        value.current = value.base = memory.destination;
    } else {
        // Another side of a partition may assign the bucket too, so the base stays open.
        value.current = memory.destination;
        value.phase = bucket_phase::Tracked;
        change.witnesses = m_selector->select(change.index);
    }
    change.urgency = std::min(change.urgency, isForced ? change_urgency::Urgent : change_urgency::Balance);
    isChanged = true;
}

bool service_planner::maySettle(uint32_t index) const
{
    auto const& value = m_table.at(index);
    auto const& memory = m_memory[index];
    if (m_traffic != service_traffic::Stream || value.phase != bucket_phase::Tracked || !m_isFullView)
        return false;
    bool const isObserved = memory.witnessesSince && m_now - *memory.witnessesSince >= m_settings.flowIdleTimeout;
    if (value.base != value.current && !isObserved)
        return false;
    if (memory.isMerged || memory.destination != noServer || !isAcknowledged(memory.changedAt))
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
    // The base changes first, while every host still relays: a host that treats the bucket as stable sends
    // new flows past the witnesses, and these must not resolve them to the old base.
    if (change.value.base != change.value.current) {
        change.value.base = change.value.current;
    } else {
        change.value.phase = bucket_phase::Stable;
        change.witnesses = {};
    }
    isChanged = true;
}

} // namespace bilberryyard
