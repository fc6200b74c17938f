#pragma once

#include <Consensus/member_identity.h>
#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <vector>

namespace bilberryyard {

enum class member_role : uint8_t {
    /// Receives the log but neither votes nor counts towards a majority.
    Learner = 1,
    Voter = 2,
};

/// One member of a cluster_configuration.
struct member_description {
    member_id id;
    member_role role = member_role::Voter;
    /// Network address; consensus_member only stores it and compares it for equality.
    std::string address;
    auto operator<=>(member_description const&) const = default;
};

/// The members of the replicated log and their roles. Immutable; every change returns a new configuration.
class cluster_configuration {
public:
    /// A configuration without members: that of a learner that has not received a message from a leader yet.
    cluster_configuration() = default;

    /// Creates the bootstrap configuration of a cluster.
    /// @return The configuration; InvalidArgument if there is no voter, or if an identifier is 0 or repeated.
    static absl::StatusOr<cluster_configuration> create(std::vector<member_description> members);

    /// @param bytes Result of encode().
    /// @return The configuration, or DataLoss if the bytes cannot be decoded.
    static absl::StatusOr<cluster_configuration> decode(std::string_view bytes);

    /// @return The binary encoding, which is the payload of log entries of kind Configuration.
    std::string encode() const;

    /// @param id An identifier greater than every identifier used so far.
    /// @return The configuration with an additional learner; FailedPrecondition if the identifier was used before.
    absl::StatusOr<cluster_configuration> withLearner(member_id id, std::string address) const;

    /// @return The configuration with the learner promoted to voter; NotFound if `id` is not a member,
    /// FailedPrecondition if it is already a voter.
    absl::StatusOr<cluster_configuration> withPromoted(member_id id) const;

    /// @return The configuration without the member; NotFound if `id` is not a member, FailedPrecondition if it is
    /// the last voter.
    absl::StatusOr<cluster_configuration> without(member_id id) const;

    std::vector<member_description> const& members() const { return m_members; }
    /// @return The highest identifier ever used, including those of removed members.
    member_id highestMember() const { return m_highestMember; }
    size_t voterCount() const;
    bool contains(member_id id) const { return find(id) != nullptr; }
    bool isVoter(member_id id) const;
    /// @return Whether the identifier belonged to a member that has been removed.
    bool isRemoved(member_id id) const { return id != noMember && id <= m_highestMember && !contains(id); }

    auto operator<=>(cluster_configuration const&) const = default;

private:
    member_description const* find(member_id id) const;

    std::vector<member_description> m_members;
    member_id m_highestMember;
};

} // namespace bilberryyard
