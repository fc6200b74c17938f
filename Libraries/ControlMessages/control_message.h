#pragma once

#include <Base/identifiers.h>
#include <Base/monotonic_time.h>
#include <Consensus/consensus_message.h>
#include <Consensus/member_identity.h>
#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace bilberryyard {

/// Sent by the leader to request the join token of a host without an identity.
struct join_invitation {
    auto operator<=>(join_invitation const&) const = default;
};

/// Sent by a host without an identity to request to join.
struct join_offer {
    /// Stored in the host's data folder. A host that loses its disk after it has joined gets a new token, so that it is
    /// not mistaken for its former member.
    uint64_t token = 0;
    auto operator<=>(join_offer const&) const = default;
};

/// Assigns the member identity to the host with this token.
struct join_identity {
    member_identity identity;
    uint64_t token = 0;
    auto operator<=>(join_identity const&) const = default;
};

/// Status of a balancer, as a control host has last received it.
struct balancer_report {
    host_id host;
    std::string zone;
    /// Configuration revision.
    uint64_t revision = 0;
    /// Numeric value of the enumeration synchronisation.
    uint32_t state = 0;
    /// Time since the balancer was last seen.
    duration age {};
    auto operator<=>(balancer_report const&) const = default;
};

/// Status of a control host and of the balancers that request configurations from it.
struct host_report {
    std::string zone;
    uint64_t revision = 0;
    /// "leader", "follower", "learner" or "waiting to be added".
    std::string condition;
    std::vector<balancer_report> balancers;
    auto operator<=>(host_report const&) const = default;
};

/// A message between two control hosts.
struct control_message {
    using body_type = std::variant<consensus_message, join_invitation, join_offer, join_identity, host_report>;

    host_id sender;
    body_type body;
    bool operator==(control_message const&) const = default;
};

} // namespace bilberryyard
