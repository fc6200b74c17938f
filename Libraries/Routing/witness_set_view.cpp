#include <Routing/witness_set_view.h>

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

    witness_group_view viewOf(witness_group const& group, routing_view const& view)
    {
        witness_group_view result;
        std::optional<host_id> firstFilling;
        for (uint8_t index = 0; index < group.count; ++index) {
            auto const& member = group.witnesses[index];
            if (!isLive(member, view))
                continue;
            result.liveMembers.push_back(member.host);
            bool const complete = member.state == witness_state::Complete;
            auto& first = complete ? result.primary : firstFilling;
            if (!first)
                first = member.host;
            if (isSelf(member, view.self)) {
                result.selfMember = true;
                result.selfComplete = complete;
            }
        }
        if (!result.primary)
            result.primary = firstFilling;
        result.selfPrimary = result.selfMember && result.primary == view.self.host;
        return result;
    }

} // namespace

std::optional<host_id> witness_group_view::firstOtherMember(host_id self) const
{
    auto const found = std::find_if(liveMembers.begin(), liveMembers.end(), [&](host_id host) { return host != self; });
    return found == liveMembers.end() ? std::nullopt : std::optional(*found);
}

std::optional<host_id> witness_group_view::nextMemberAfter(host_id member, host_id sender) const
{
    auto const own = std::find(liveMembers.begin(), liveMembers.end(), member);
    if (own == liveMembers.end())
        return std::nullopt;
    auto const found = std::find_if(own + 1, liveMembers.end(), [&](host_id host) { return host != sender; });
    return found == liveMembers.end() ? std::nullopt : std::optional(*found);
}

std::optional<host_id> witness_group_view::memberBefore(host_id member) const
{
    auto const own = std::find(liveMembers.begin(), liveMembers.end(), member);
    return own == liveMembers.begin() || own == liveMembers.end() ? std::nullopt : std::optional(*(own - 1));
}

witness_set_view::witness_set_view(witness_set const& set, routing_view const& view)
{
    for (uint8_t index = 0; index < set.count; ++index)
        m_groups.push_back(viewOf(set.groups[index], view));
}

bool witness_set_view::selfMember() const
{
    return std::any_of(
        m_groups.begin(), m_groups.end(), [](witness_group_view const& group) { return group.selfMember; });
}

std::optional<uint8_t> witness_set_view::nextGroupToQuery(size_t first) const
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
