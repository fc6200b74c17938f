#include <Routing/witness_plan.h>

#include <algorithm>

namespace bilberryyard {

namespace {

    bool isSelf(witness const& member, routed_peer const& self)
    {
        return member.host == self.host && member.incarnation == self.incarnation;
    }

    bool isLive(witness const& member, routing_view const& view)
    {
        return isSelf(member, view.self)
            || std::find(view.peers.begin(), view.peers.end(), routed_peer { member.host, member.incarnation })
            != view.peers.end();
    }

    group_plan planFor(witness_group const& group, routing_view const& view)
    {
        group_plan plan;
        std::optional<host_id> firstFilling;
        for (uint8_t index = 0; index < group.count; ++index) {
            auto const& member = group.witnesses[index];
            if (!isLive(member, view))
                continue;
            plan.chain.push_back(member.host);
            bool const complete = member.state == witness_state::Complete;
            auto& first = complete ? plan.primary : firstFilling;
            if (!first)
                first = member.host;
            if (isSelf(member, view.self)) {
                plan.selfMember = true;
                plan.selfComplete = complete;
            }
        }
        if (!plan.primary)
            plan.primary = firstFilling;
        plan.selfPrimary = plan.selfMember && plan.primary == view.self.host;
        return plan;
    }

} // namespace

std::optional<host_id> group_plan::firstOther(host_id self) const
{
    auto const found = std::find_if(chain.begin(), chain.end(), [&](host_id host) { return host != self; });
    return found == chain.end() ? std::nullopt : std::optional(*found);
}

std::optional<host_id> group_plan::nextAfter(host_id member, host_id sender) const
{
    auto const own = std::find(chain.begin(), chain.end(), member);
    if (own == chain.end())
        return std::nullopt;
    auto const found = std::find_if(own + 1, chain.end(), [&](host_id host) { return host != sender; });
    return found == chain.end() ? std::nullopt : std::optional(*found);
}

std::optional<host_id> group_plan::memberBefore(host_id member) const
{
    auto const own = std::find(chain.begin(), chain.end(), member);
    return own == chain.begin() || own == chain.end() ? std::nullopt : std::optional(*(own - 1));
}

witness_plan::witness_plan(witness_set const& set, routing_view const& view)
{
    for (uint8_t index = 0; index < set.count; ++index)
        m_groups.push_back(planFor(set.groups[index], view));
}

bool witness_plan::selfMember() const
{
    return std::any_of(m_groups.begin(), m_groups.end(), [](group_plan const& group) { return group.selfMember; });
}

std::optional<uint8_t> witness_plan::nextGroupToAsk(size_t first) const
{
    for (auto index = first; index < m_groups.size(); ++index) {
        auto const& group = m_groups[index];
        if (!group.selfComplete && group.primary && !group.selfPrimary)
            return static_cast<uint8_t>(index);
    }
    return std::nullopt;
}

bool hasRole(witness_set const& set, routed_peer const& self, witness_state state)
{
    for (uint8_t group = 0; group < set.count; ++group) {
        auto const& members = set.groups[group].witnesses;
        auto const end = members.begin() + set.groups[group].count;
        if (std::any_of(members.begin(), end,
                [&](witness const& member) { return isSelf(member, self) && member.state == state; }))
            return true;
    }
    return false;
}

} // namespace bilberryyard
