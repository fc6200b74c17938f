#pragma once

#include <Base/monotonic_time.h>
#include <Consensus/cluster_configuration.h>
#include <Consensus/consensus_member.h>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bilberryyard {

struct group_planner_settings {
    /// Lost disks that the group survives at a time; it keeps twice as many voters and one more.
    uint32_t toleratedLosses = 1;
    /// A voter that has not answered for longer gives its place to a learner, if there is one. Longer than an
    /// election, shorter than the time after which a replaced host no longer counts as lost.
    duration replaceAfter = std::chrono::milliseconds(2'000);
    /// A learner that has not answered for longer is dropped; it joins anew when it returns.
    duration dropLearnerAfter = std::chrono::seconds(20);
    auto operator<=>(group_planner_settings const&) const = default;
};

/// A host that asks to become a member.
struct group_applicant {
    /// Address and token, as the configuration carries them.
    std::string address;
    /// The part of the address that names the host, whatever its disk holds.
    std::string host;
    auto operator<=>(group_applicant const&) const = default;
};

/// A member as its leader sees it.
struct member_status {
    member_id id;
    member_role role = member_role::Learner;
    std::string host;
    std::string zone;
    /// Address with the token of its data folder.
    std::string address;
    /// Time since its latest answer; zero for the leader.
    duration timeSinceLastResponse {};
    auto operator<=>(member_status const&) const = default;
};

/// Number of voters that survives the loss of some of them.
/// @param toleratedLosses Lost voters.
/// @return The number.
constexpr uint32_t votersFor(uint32_t toleratedLosses) { return 2 * (toleratedLosses > 0 ? toleratedLosses : 1) + 1; }

/// Decides how the group of voters grows and replaces its members; asked by the leader, one change at a time.
///
/// Every change is a change of one voter, so that majorities of two successive configurations overlap. A host that
/// lost its disk returns under a new token, and its former member is removed before the host joins again: what the
/// former member had promised is never answered for by an empty disk.
/// @param settings Limits.
/// @param members The latest configuration with what the leader knows of each member.
/// @param self The leader.
/// @param unused The identifier of the next member; no member has had it.
/// @param applicants Hosts that ask to join.
/// @return The next change, or nothing.
std::optional<membership_change> planGroupChange(group_planner_settings const& settings,
    std::vector<member_status> const& members, member_id self, member_id unused,
    std::vector<group_applicant> const& applicants);

/// The members that found a group: each starts with the same configuration, without asking anybody.
struct bootstrap_group {
    uint64_t cluster = 0;
    std::vector<member_description> members;
};

/// @param addresses The founders' addresses, the same list at every founder in any order.
/// @return The group. It depends on the addresses alone, so that no two groups can come from one list.
bootstrap_group bootstrapGroup(std::vector<std::string> addresses);

} // namespace bilberryyard
