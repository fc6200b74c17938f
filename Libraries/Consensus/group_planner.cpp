#include <Consensus/group_planner.h>

#include <Base/hashing.h>
#include <algorithm>
#include <map>

namespace bilberryyard {

namespace {

    using member_list = std::vector<member_status>;

    bool isVoter(member_status const& member) { return member.role == member_role::Voter; }

    std::optional<membership_change> admit(
        member_list const& members, member_id self, member_id nextMemberId, group_applicant const& applicant)
    {
        for (auto const& member : members) {
            if (member.host != applicant.host)
                continue;
            if (member.address == applicant.address || member.id == self)
                return std::nullopt;
            return membership_change { membership_change_kind::Remove, member.id, {} };
        }
        return membership_change { membership_change_kind::AddLearner, nextMemberId, applicant.address };
    }

    // Prefers the zone with the fewest voters, so that the loss of one zone affects as few voters as possible.
    member_status const* bestLearner(member_list const& members, duration voterTimeout)
    {
        std::map<std::string, size_t> votersInZone;
        for (auto const& member : members) {
            if (isVoter(member) && member.timeSinceLastResponse < voterTimeout)
                ++votersInZone[member.zone];
        }
        member_status const* best = nullptr;
        for (auto const& member : members) {
            if (isVoter(member) || member.timeSinceLastResponse >= voterTimeout)
                continue;
            if (!best || votersInZone[member.zone] < votersInZone[best->zone])
                best = &member;
        }
        return best;
    }

} // namespace

std::optional<membership_change> planGroupChange(group_planner_settings const& settings, member_list const& members,
    member_id self, member_id nextMemberId, std::vector<group_applicant> const& applicants)
{
    auto const target = votersFor(settings.toleratedLosses);
    size_t voters = 0;
    member_status const* unresponsiveVoter = nullptr;
    for (auto const& member : members) {
        if (!isVoter(member))
            continue;
        ++voters;
        if (member.timeSinceLastResponse >= settings.voterTimeout
            && (!unresponsiveVoter || member.timeSinceLastResponse > unresponsiveVoter->timeSinceLastResponse))
            unresponsiveVoter = &member;
    }
    if (voters > target && unresponsiveVoter)
        return membership_change { membership_change_kind::Remove, unresponsiveVoter->id, {} };
    for (auto const& applicant : applicants) {
        if (auto change = admit(members, self, nextMemberId, applicant))
            return change;
    }
    auto const* const learner = bestLearner(members, settings.voterTimeout);
    if (learner && (voters < target || (unresponsiveVoter && voters == target)))
        return membership_change { membership_change_kind::Promote, learner->id, {} };
    for (auto const& member : members) {
        if (!isVoter(member) && member.timeSinceLastResponse >= settings.learnerTimeout)
            return membership_change { membership_change_kind::Remove, member.id, {} };
    }
    return std::nullopt;
}

bootstrap_group bootstrapGroup(std::vector<std::string> addresses)
{
    std::sort(addresses.begin(), addresses.end());
    addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
    std::string joinedAddresses;
    bootstrap_group group;
    for (auto const& address : addresses) {
        joinedAddresses.append(address).append(1, '\n');
        auto const identifierValue = static_cast<uint32_t>(group.members.size() + 1);
        group.members.push_back({ member_id { identifierValue }, member_role::Voter, address });
    }
    group.cluster
        = hashBytes({ reinterpret_cast<uint8_t const*>(joinedAddresses.data()), joinedAddresses.size() }, 0) | 1;
    return group;
}

} // namespace bilberryyard
