#pragma once

#include <Packet/ip_endpoint.h>
#include <Placement/flow_token.h>
#include <compare>
#include <cstdint>

namespace bilberryyard {

/// The endpoints of a flow.
struct flow_endpoints {
    ip_endpoint caller;
    /// Virtual address and port that the caller connects to.
    ip_endpoint service;
    auto operator<=>(flow_endpoints const&) const = default;
};

enum class packet_purpose : uint8_t {
    /// Opens a flow (SYN without ACK).
    Open,
    Continue,
    Finish,
    /// The caller resets the flow (RST).
    Abort,
};

/// @return A stable name for logs.
char const* nameOf(packet_purpose purpose);

/// The fields of a caller's packet that forwarding depends on.
struct caller_packet {
    flow_endpoints flowEndpoints;
    packet_purpose purpose = packet_purpose::Continue;
    uint32_t token = noToken;
    uint32_t sequence = 0;
    uint32_t acknowledgement = 0;
    uint32_t payloadBytes = 0;
    /// For Open: how often the caller has sent this packet before.
    uint32_t retransmissionCount = 0;
    auto operator<=>(caller_packet const&) const = default;
};

} // namespace bilberryyard

template <>
struct std::hash<bilberryyard::flow_endpoints> {
    size_t operator()(bilberryyard::flow_endpoints const& flowEndpoints) const noexcept;
};
