#pragma once

#include <Packet/ip_address.h>
#include <compare>
#include <cstdint>
#include <string>

namespace bilberryyard {

/// An address and a UDP or TCP port in host byte order.
struct ip_endpoint {
    ip_address address;
    uint16_t port = 0;
    auto operator<=>(ip_endpoint const&) const = default;

    /// @return "192.0.2.1:80" or "[2001:db8::1]:80".
    std::string toText() const;
};

} // namespace bilberryyard
