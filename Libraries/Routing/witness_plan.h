#pragma once

#include <Routing/routing_view.h>
#include <cstddef>
#include <optional>
#include <vector>

namespace bilberryyard {

/// A witness group as one host sees it: its live members and the host's own role.
struct group_plan {
    /// The first live complete witness, or the first live filling one when no complete witness is left.
    std::optional<host_id> primary;
    /// Live members in the order of the group.
    std::vector<host_id> chain;
    bool selfMember = false;
    bool selfComplete = false;
    bool selfPrimary = false;

    /// @param self This host.
    /// @return The first other live member, to which a witness that made a change tells it.
    std::optional<host_id> firstOther(host_id self) const;

    /// @param member A live member, normally this host.
    /// @param sender The host that told this one of a change.
    /// @return The live member after it, leaving out the sender.
    std::optional<host_id> nextAfter(host_id member, host_id sender) const;

    /// @param member A live member.
    /// @return The live member before it, from which it gets the records of new flows.
    std::optional<host_id> memberBefore(host_id member) const;
};

/// A witness set as one host sees it. A host is a witness only under its present incarnation.
class witness_plan {
public:
    /// @param set The witness set.
    /// @param view The host's view: who it is and which peers live.
    witness_plan(witness_set const& set, routing_view const& view);

    std::vector<group_plan> const& groups() const { return m_groups; }

    /// @return Whether this host is a witness of any group.
    bool selfMember() const;

    /// @param first Index of a group.
    /// @return The first group from there on that this host has to ask another host about.
    std::optional<uint8_t> nextGroupToAsk(size_t first) const;

private:
    std::vector<group_plan> m_groups;
};

/// @param set A witness set.
/// @param self A host under its present incarnation.
/// @param state A role.
/// @return Whether the host has this role in any group of the set.
bool hasRole(witness_set const& set, routed_peer const& self, witness_state state);

} // namespace bilberryyard
