#pragma once

#include <Packet/ip_endpoint.h>
#include <absl/status/statusor.h>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace bilberryyard {

/// The address of a member of the replicated log, as stored in configuration entries of the log.
struct group_address {
    ip_endpoint peer;
    /// join_request::token of a member that joined later; 0 for bootstrap members.
    uint64_t token = 0;
    auto operator<=>(group_address const&) const = default;

    /// @return Peer address and token, such as "10.1.0.12:7720 0".
    std::string toText() const;
    /// @param text A text in the form of toText().
    /// @return The address, or InvalidArgument.
    static absl::StatusOr<group_address> parse(std::string_view text);
};

} // namespace bilberryyard
