#pragma once

#include <Packet/ip_address.h>
#include <absl/status/statusor.h>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace bilberryyard {

/// An IP address and a port.
struct endpoint {
    ip_address address;
    uint16_t port = 0;
    auto operator<=>(endpoint const&) const = default;

    /// @param text "192.0.2.1:6080" or "[2001:db8::1]:6080"; the port is 1 to 65535.
    /// @return The endpoint; InvalidArgument for malformed text.
    static absl::StatusOr<endpoint> parse(std::string_view text);

    /// @return Text that parse() accepts.
    std::string toText() const;
};

} // namespace bilberryyard
