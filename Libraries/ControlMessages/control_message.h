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

/// The leader asks a host without identity for its join token.
struct join_invitation {
    auto operator<=>(join_invitation const&) const = default;
};

/// A host without identity offers to join. The token is kept in its data folder, so a host that loses its
/// disk once more is not taken for the member that it became.
struct join_offer {
    uint64_t token = 0;
    auto operator<=>(join_offer const&) const = default;
};

/// Names the member that the host with this token is.
struct join_identity {
    member_identity identity;
    uint64_t token = 0;
    auto operator<=>(join_identity const&) const = default;
};

/// A balancer as a control host has last heard of it.
struct host_row {
    host_id host;
    std::string zone;
    uint64_t revision = 0;
    /// synchronisation as a number.
    uint32_t state = 0;
    duration age {};
    auto operator<=>(host_row const&) const = default;
};

/// What a control host knows of itself and of the balancers that ask it for configurations.
struct host_report {
    std::string zone;
    uint64_t revision = 0;
    /// "leader", "follower", "learner" or "waiting to be added".
    std::string condition;
    std::vector<host_row> balancers;
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
