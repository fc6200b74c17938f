#pragma once

#include <Base/identifiers.h>
#include <Base/monotonic_time.h>
#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace bilberryyard {

/// The rule that decides where a packet of a flow goes.
enum class routing_rule : uint8_t {
    /// No endpoint has the destination.
    NoService,
    /// The host has no table of the service or does not know whether it is current, and relays to any peer.
    Unsynchronised,
    /// The bucket is stable.
    StableBucket,
    /// An explicit entry names the server.
    ExplicitEntry,
    /// The flow has no entry, so it was opened before the bucket became tracked.
    Base,
    /// The packet would open a new flow, on the bucket's current server if that server admits it.
    NewFlow,
    /// The packet is relayed to the host that decides.
    Relayed,
    /// A witness group has no live complete witness.
    NoWitness,
};

/// Explains where the packets of a flow go and why.
struct flow_explanation {
    routing_rule rule = routing_rule::NoService;
    service_id service;
    uint64_t flowHash = 0;
    uint32_t bucket = 0;
    uint64_t tableVersion = 0;
    server_id server = noServer;
    /// The host that packets are relayed to, when another host decides.
    std::optional<host_id> host;
    auto operator<=>(flow_explanation const&) const = default;
};

/// What a planner must know about a bucket before it can settle it.
struct bucket_usage {
    /// Explicit entries on this host.
    uint32_t entries = 0;
    /// Entries that name another server than current.
    uint32_t differing = 0;
    /// Last time that a packet was resolved to a base that differs from current.
    std::optional<monotonic_time> lastBaseUse;
    auto operator<=>(bucket_usage const&) const = default;
};

/// An explicit entry that is sent to a filling witness.
struct transferred_flow {
    uint64_t flowHash = 0;
    server_id server = noServer;
    auto operator<=>(transferred_flow const&) const = default;
};

/// Progress of a transfer: the next position in the list of buckets, and the last hash sent of that bucket.
struct transfer_cursor {
    size_t position = 0;
    std::optional<uint64_t> lastHash;
    auto operator<=>(transfer_cursor const&) const = default;
};

/// A batch of explicit entries of a transfer.
struct transfer_batch {
    std::vector<transferred_flow> flows;
    transfer_cursor next;
    /// Whether this was the last batch.
    bool done = false;
    auto operator<=>(transfer_batch const&) const = default;
};

/// Numbers of decisions by rule since the process started.
struct routing_counters {
    uint64_t stable = 0;
    uint64_t explicitEntry = 0;
    uint64_t base = 0;
    uint64_t newFlows = 0;
    uint64_t relays = 0;
    uint64_t reassigned = 0;
    uint64_t rejected = 0;
    uint64_t tableFull = 0;
    auto operator<=>(routing_counters const&) const = default;
};

} // namespace bilberryyard
