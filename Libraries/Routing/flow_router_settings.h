#pragma once

#include <chrono>
#include <compare>
#include <cstddef>

namespace bilberryyard {

/// Times and bounds of a flow_router. Zero switches a rule off.
struct flow_router_settings {
    /// Bound on explicit entries.
    size_t maximumFlows = 2'000'000;
    /// For this long after a bucket became tracked, a SYN without an entry goes to base: it may be a duplicate
    /// or the first retransmission (after 1 s, RFC 6298 section 2) of a SYN that was forwarded without an entry.
    std::chrono::milliseconds synGrace { 1'500 };
    /// A SYN retransmitted in this range after the first may be assigned to another server. The upper bound is
    /// below handshakeRelay, so that no witness forwards payload by itself while the primary may still reassign.
    std::chrono::milliseconds retryAfter { 1'000 };
    std::chrono::milliseconds retryUntil { 4'000 };
    /// For this long after a SYN the other witnesses leave the flow to the primary, which must see its progress.
    std::chrono::milliseconds handshakeRelay { 5'000 };
    /// Packets that spent longer in the system are dropped. Below retryAfter, so that a late record of the first
    /// choice cannot replace a reassignment.
    std::chrono::milliseconds maximumRelayAge { 800 };
    /// A SYN on a flow that closed less than this ago may be a duplicate and is dropped unless its server still
    /// takes new flows.
    std::chrono::milliseconds closedHold { 1'000 };
    /// A pause this long between two calls means that the host was suspended; expire() is called more often than
    /// that. Then packets may have waited in the socket, so SYNs are dropped for suspensionHold: one that is older
    /// than synGrace could be taken for a new flow. Callers retransmit.
    std::chrono::milliseconds suspensionGap { 500 };
    std::chrono::milliseconds suspensionHold { 250 };
    auto operator<=>(flow_router_settings const&) const = default;
};

} // namespace bilberryyard
