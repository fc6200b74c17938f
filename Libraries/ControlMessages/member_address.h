#pragma once

#include <Base/identifiers.h>
#include <Configuration/endpoint.h>
#include <absl/status/statusor.h>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace bilberryyard {

/// The address of a member of the replicated log, as stored in configuration entries.
struct member_address {
    host_id host;
    /// Endpoint for messages between control hosts.
    endpoint peer;
    /// Endpoint from which balancers request configurations.
    endpoint distribution;
    /// join_offer::token of a member that joined later; 0 for a bootstrap member.
    uint64_t token = 0;
    auto operator<=>(member_address const&) const = default;

    /// @return "HOST PEER DISTRIBUTION TOKEN".
    std::string toText() const;
    /// @param text Result of toText().
    /// @return The address, or InvalidArgument if the text is malformed.
    static absl::StatusOr<member_address> parse(std::string_view text);
};

} // namespace bilberryyard
