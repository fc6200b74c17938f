#pragma once

#include <Packet/ip_address.h>
#include <compare>
#include <cstdint>
#include <string>
#include <type_traits>

namespace bilberryyard {

/// IP protocols that the data plane supports (IANA protocol numbers).
enum class ip_protocol : uint8_t {
    Icmp = 1,
    Tcp = 6,
    Udp = 17,
    Icmpv6 = 58,
};

/// The 5-tuple of a flow, in the direction from caller to service.
struct flow_key {
    ip_address source;
    ip_address destination;
    uint16_t sourcePort = 0;
    uint16_t destinationPort = 0;
    ip_protocol protocol = ip_protocol::Tcp;
    /// Keeps the structure free of padding, so that it can be hashed as bytes. Always 0.
    uint8_t reserved = 0;
    auto operator<=>(flow_key const&) const = default;

    /// @return "tcp 192.0.2.1:4000 -> 198.51.100.1:80".
    std::string toText() const;
};

static_assert(std::has_unique_object_representations_v<flow_key>);

/// Hashes a flow key. Every host of a deployment computes the same value.
/// @param seed Hash seed of the deployment.
uint64_t hashFlow(flow_key const& key, uint64_t seed);

} // namespace bilberryyard
