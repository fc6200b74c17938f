#pragma once

#include <Packet/ip_address.h>
#include <absl/status/statusor.h>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace bilberryyard {

/// An address and a UDP or TCP port in host byte order.
struct ip_endpoint {
    ip_address address;
    uint16_t port = 0;
    auto operator<=>(ip_endpoint const&) const = default;

    /// @param text "192.0.2.1:80" or "[2001:db8::1]:80".
    /// @return The endpoint; InvalidArgument when the text is neither.
    static absl::StatusOr<ip_endpoint> parse(std::string_view text);

    /// @return "192.0.2.1:80" or "[2001:db8::1]:80".
    std::string toText() const;
};

} // namespace bilberryyard
