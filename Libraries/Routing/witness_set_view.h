#pragma once

#include <Routing/routing_view.h>
#include <cstddef>
#include <optional>
#include <vector>

namespace bilberryyard {

/// The state of a witness group from the view of one host: the live members and the host's own role.
struct witness_group_view {
    /// The first live complete witness, or the first live filling one when no complete witness is left.
    std::optional<host_id> primary;
    /// Live members in the order of the group.
    std::vector<host_id> liveMembers;
    bool selfMember = false;
    bool selfComplete = false;
    bool selfPrimary = false;

    /// @param self This host.
    /// @return The first live member other than this host. A witness sends its changes there first.
    std::optional<host_id> firstOtherMember(host_id self) const;

    /// @param member A live member, normally this host.
    /// @param sender The host from which the member received a change.
    /// @return The next live member after it, to which the change is passed on; the sender is skipped.
    std::optional<host_id> nextMemberAfter(host_id member, host_id sender) const;

    /// @param member A live member.
    /// @return The live member before it, from which it receives the records of new flows.
    std::optional<host_id> memberBefore(host_id member) const;
};

/// The state of a witness set from the view of one host. A host counts as a witness only under its present
/// incarnation.
class witness_set_view {
public:
    /// @param view The view of the host, which names the host itself and its live peers.
    witness_set_view(witness_set const& set, routing_view const& view);

    std::vector<witness_group_view> const& groups() const { return m_groups; }

    /// @return Whether this host is a witness of any group.
    bool selfMember() const;

    /// @param first Index of the group to start with.
    /// @return The first group whose entries this host lacks and must query from another host.
    std::optional<uint8_t> nextGroupToQuery(size_t first) const;

private:
    std::vector<witness_group_view> m_groups;
};

/// @param self The host, under its present incarnation.
/// @return Whether the host has this role in any group of the set.
bool hasRole(witness_set const& set, routed_peer const& self, witness_state state);

} // namespace bilberryyard
