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

/// One member of a configuration.
struct member_description {
    member_id id;
    member_role role = member_role::Voter;
    /// Where the member is reached; opaque to the decision logic.
    std::string address;
    auto operator<=>(member_description const&) const = default;
};

/// The members of the replicated log: an immutable value; changes give a new configuration.
class cluster_configuration {
public:
    /// A configuration without members, held by a learner that has not heard from a leader yet.
    cluster_configuration() = default;

    /// Creates the founding configuration of a cluster.
    /// @param members The founding members.
    /// @return The configuration; InvalidArgument without a voter, for identifier 0 or for a repeated identifier.
    static absl::StatusOr<cluster_configuration> create(std::vector<member_description> members);

    /// @param bytes Result of encode().
    /// @return The configuration, or DataLoss when the bytes are not one.
    static absl::StatusOr<cluster_configuration> decode(std::string_view bytes);

    /// @return The encoding, used as the payload of configuration entries.
    std::string encode() const;

    /// @param id An identifier that no member has ever had.
    /// @param address Where the member is reached.
    /// @return The configuration with a new learner; FailedPrecondition for an identifier that was used before.
    absl::StatusOr<cluster_configuration> withLearner(member_id id, std::string address) const;

    /// @param id A learner.
    /// @return The configuration in which it is a voter; NotFound or FailedPrecondition otherwise.
    absl::StatusOr<cluster_configuration> withPromoted(member_id id) const;

    /// @param id A member.
    /// @return The configuration without it; NotFound for another identifier, FailedPrecondition for the last voter.
    absl::StatusOr<cluster_configuration> without(member_id id) const;

    std::vector<member_description> const& members() const { return m_members; }
    /// @return The highest identifier ever used.
    member_id highestMember() const { return m_highestMember; }
    size_t voterCount() const;
    bool contains(member_id id) const { return find(id) != nullptr; }
    bool isVoter(member_id id) const;
    /// @return Whether the identifier was a member once and is no longer.
    bool isRemoved(member_id id) const { return id != noMember && id <= m_highestMember && !contains(id); }

    auto operator<=>(cluster_configuration const&) const = default;

private:
    member_description const* find(member_id id) const;

    std::vector<member_description> m_members;
    member_id m_highestMember;
};

} // namespace bilberryyard
