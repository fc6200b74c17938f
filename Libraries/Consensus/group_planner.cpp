#include <Consensus/group_planner.h>

#include <Base/hashing.h>
#include <algorithm>
#include <map>

namespace bilberryyard {

namespace {

    using member_list = std::vector<member_status>;

    bool isVoter(member_status const& member) { return member.role == member_role::Voter; }

    std::optional<membership_change> admit(
        member_list const& members, member_id self, member_id unused, group_applicant const& applicant)
    {
        for (auto const& member : members) {
            if (member.host != applicant.host)
                continue;
            if (member.address == applicant.address || member.id == self)
                return std::nullopt;
            return membership_change { membership_change_kind::Remove, member.id, {} };
        }
        return membership_change { membership_change_kind::AddLearner, unused, applicant.address };
    }

    // A learner in the zone with the fewest voters, so that the loss of a zone takes few of them.
    member_status const* bestLearner(member_list const& members, duration replaceAfter)
    {
        std::map<std::string, size_t> votersInZone;
        for (auto const& member : members) {
            if (isVoter(member) && member.timeSinceLastResponse < replaceAfter)
                ++votersInZone[member.zone];
        }
        member_status const* best = nullptr;
        for (auto const& member : members) {
            if (isVoter(member) || member.timeSinceLastResponse >= replaceAfter)
                continue;
            if (!best || votersInZone[member.zone] < votersInZone[best->zone])
                best = &member;
        }
        return best;
    }

} // namespace

std::optional<membership_change> planGroupChange(group_planner_settings const& settings, member_list const& members,
    member_id self, member_id unused, std::vector<group_applicant> const& applicants)
{
    auto const target = votersFor(settings.toleratedLosses);
    size_t voters = 0;
    member_status const* silentVoter = nullptr;
    for (auto const& member : members) {
        if (!isVoter(member))
            continue;
        ++voters;
        if (member.timeSinceLastResponse >= settings.replaceAfter
            && (!silentVoter || member.timeSinceLastResponse > silentVoter->timeSinceLastResponse))
            silentVoter = &member;
    }
    if (voters > target && silentVoter)
        return membership_change { membership_change_kind::Remove, silentVoter->id, {} };
    for (auto const& applicant : applicants) {
        if (auto change = admit(members, self, unused, applicant))
            return change;
    }
    auto const* const learner = bestLearner(members, settings.replaceAfter);
    if (learner && (voters < target || (silentVoter && voters == target)))
        return membership_change { membership_change_kind::Promote, learner->id, {} };
    for (auto const& member : members) {
        if (!isVoter(member) && member.timeSinceLastResponse >= settings.dropLearnerAfter)
            return membership_change { membership_change_kind::Remove, member.id, {} };
    }
    return std::nullopt;
}

bootstrap_group bootstrapGroup(std::vector<std::string> addresses)
{
    std::sort(addresses.begin(), addresses.end());
    addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
    std::string joined;
    bootstrap_group group;
    for (auto const& address : addresses) {
        joined.append(address).append(1, '\n');
        auto const number = static_cast<uint32_t>(group.members.size() + 1);
        group.members.push_back({ member_id { number }, member_role::Voter, address });
    }
    group.cluster = hashBytes({ reinterpret_cast<uint8_t const*>(joined.data()), joined.size() }, 0) | 1;
    return group;
}

} // namespace bilberryyard
