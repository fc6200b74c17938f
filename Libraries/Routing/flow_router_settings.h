#pragma once

#include <chrono>
#include <compare>
#include <cstddef>

namespace bilberryyard {

/// Time windows and limits of a flow_router. A window of zero disables its rule.
struct flow_router_settings {
    /// Largest number of explicit entries.
    size_t maximumFlows = 2'000'000;
    /// For this long after a bucket became tracked, a SYN without an entry goes to base, because it may be a
    /// duplicate or the first retransmission (after 1 s, RFC 6298 section 2) of a SYN forwarded without an entry.
    std::chrono::milliseconds synGracePeriod { 1'500 };
    /// A SYN retransmitted at least the minimum and less than the maximum after the previous one may be assigned to
    /// another server. The maximum is below handshakeRelayWindow, so that no witness forwards payload by itself
    /// while the primary may still reassign the flow.
    std::chrono::milliseconds minimumReassignmentDelay { 1'000 };
    std::chrono::milliseconds maximumReassignmentDelay { 4'000 };
    /// For this long after a SYN the other witnesses relay packets of the flow to the primary, which must see the
    /// progress of the handshake.
    std::chrono::milliseconds handshakeRelayWindow { 5'000 };
    /// Relayed packets older than this are dropped. Below minimumReassignmentDelay, so that a late record of the
    /// server chosen first cannot replace a reassignment.
    std::chrono::milliseconds maximumRelayAge { 800 };
    /// A SYN of a flow that closed less than this ago may be a duplicate, and is dropped unless the flow's server
    /// still accepts new flows.
    std::chrono::milliseconds closedFlowWindow { 1'000 };
    /// A longer pause between two calls means that the host was suspended; expire() is called more often than this.
    /// Packets may then have waited in the socket, and a SYN older than synGracePeriod could be treated as a new
    /// flow. Therefore all SYNs are dropped for resumptionWindow; callers retransmit them.
    std::chrono::milliseconds suspensionThreshold { 500 };
    std::chrono::milliseconds resumptionWindow { 250 };
    auto operator<=>(flow_router_settings const&) const = default;
};

} // namespace bilberryyard
