#pragma once

#include <absl/status/statusor.h>
#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace bilberryyard {

/// An IPv4 or IPv6 address in network byte order. IPv4 is stored as an IPv4-mapped IPv6 address
/// (RFC 4291 section 2.5.5.2), so that both families share one representation.
struct ip_address {
    std::array<uint8_t, 16> bytes {};
    auto operator<=>(ip_address const&) const = default;

    /// @param address In host byte order.
    static ip_address fromIpv4(uint32_t address);

    /// @param text Dotted decimal or RFC 4291 section 2.2 notation.
    /// @return The address; InvalidArgument when the text is neither.
    static absl::StatusOr<ip_address> parse(std::string_view text);

    /// @return Whether this is an IPv4-mapped address.
    bool isIpv4() const;

    /// @return The IPv4 address in host byte order; only meaningful when isIpv4().
    uint32_t toIpv4() const;

    /// @return Dotted decimal for IPv4, otherwise RFC 5952 text.
    std::string toText() const;
};

} // namespace bilberryyard
