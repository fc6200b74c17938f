#pragma once

#include <Base/identifiers.h>
#include <Configuration/endpoint.h>
#include <absl/status/statusor.h>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace bilberryyard {

/// The address of a member of the replicated log, as its configuration entries carry it.
struct member_address {
    host_id host;
    endpoint peer;
    endpoint distribution;
    /// join_offer::token of a member that joined later; 0 for founding members.
    uint64_t token = 0;
    auto operator<=>(member_address const&) const = default;

    /// @return "HOST PEER DISTRIBUTION TOKEN".
    std::string toText() const;
    /// @param text Result of toText().
    /// @return The address, or InvalidArgument.
    static absl::StatusOr<member_address> parse(std::string_view text);
};

} // namespace bilberryyard
