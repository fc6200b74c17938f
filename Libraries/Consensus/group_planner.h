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
    /// Number of simultaneous disk losses that the group survives; it has twice as many voters plus one.
    uint32_t toleratedLosses = 1;
    /// A voter without a response for this time is replaced by a learner, if there is one. Longer than an election, and
    /// shorter than the time for which a replaced host counts as lost.
    duration voterTimeout = std::chrono::milliseconds(2'000);
    /// A learner without a response for this time is removed; when it returns, it joins again.
    duration learnerTimeout = std::chrono::seconds(20);
    auto operator<=>(group_planner_settings const&) const = default;
};

/// A host that requests to become a member.
struct group_applicant {
    /// Address with the token of its data folder, in the form that the configuration stores.
    std::string address;
    /// The part of the address that identifies the host, without the token of its data folder.
    std::string host;
    auto operator<=>(group_applicant const&) const = default;
};

/// Status of a member, as observed by the leader.
struct member_status {
    member_id id;
    member_role role = member_role::Learner;
    std::string host;
    std::string zone;
    /// Address with the token of its data folder.
    std::string address;
    /// Time since its latest response to the leader; zero for the leader itself.
    duration timeSinceLastResponse {};
    auto operator<=>(member_status const&) const = default;
};

/// @param toleratedLosses Number of lost voters after which a majority must remain; 0 counts as 1.
/// @return The required number of voters.
constexpr uint32_t votersFor(uint32_t toleratedLosses) { return 2 * (toleratedLosses > 0 ? toleratedLosses : 1) + 1; }

/// Plans the next membership change, by which the group adds and replaces voters. The leader calls it repeatedly and
/// makes one change at a time.
///
/// Every change affects at most one voter, so that the majorities of two successive configurations overlap. A host that
/// lost its disk returns with a new token, and its former member is removed before the host joins again, because the
/// empty disk no longer contains the votes and acknowledgements of the former member.
/// @param members The members of the latest configuration.
/// @param self The leader.
/// @param nextMemberId Identifier for a new member; no member has used it before.
/// @param applicants Hosts that request to join.
/// @return The next change, or nullopt if none is needed.
std::optional<membership_change> planGroupChange(group_planner_settings const& settings,
    std::vector<member_status> const& members, member_id self, member_id nextMemberId,
    std::vector<group_applicant> const& applicants);

/// The bootstrap members of a group. Each host derives the same configuration without communication.
struct bootstrap_group {
    uint64_t cluster = 0;
    std::vector<member_description> members;
};

/// @param addresses Addresses of the bootstrap members: the same set on each of them, in any order.
/// @return The group. It depends only on the addresses, so that one list of addresses always gives the same group.
bootstrap_group bootstrapGroup(std::vector<std::string> addresses);

} // namespace bilberryyard
