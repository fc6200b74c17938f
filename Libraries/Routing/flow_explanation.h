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
    /// The host has no table of the service, or does not know whether it is current: any peer decides.
    Unsynchronised,
    /// The bucket is stable.
    StableBucket,
    /// An explicit entry names the server.
    ExplicitEntry,
    /// The flow has no entry and predates the tracking.
    Base,
    /// The flow would be new here: current, subject to admission.
    NewFlow,
    /// Another host decides.
    Relayed,
    /// No live complete witness is left.
    NoWitness,
};

/// Answer to the question where a flow's packets go.
struct flow_explanation {
    routing_rule rule = routing_rule::NoService;
    service_id service;
    uint64_t flowHash = 0;
    uint32_t bucket = 0;
    uint64_t tableVersion = 0;
    server_id server = noServer;
    /// The host that decides, when another one does.
    std::optional<host_id> host;
    auto operator<=>(flow_explanation const&) const = default;
};

/// What a planner must know of a bucket before it settles it.
struct bucket_usage {
    /// Explicit entries held here.
    uint32_t entries = 0;
    /// Those that name another server than current.
    uint32_t differing = 0;
    /// When a packet was last resolved to a base that differs from current.
    std::optional<monotonic_time> lastBaseUse;
    auto operator<=>(bucket_usage const&) const = default;
};

/// One explicit entry on its way to a filling witness.
struct transferred_flow {
    uint64_t flowHash = 0;
    server_id server = noServer;
    auto operator<=>(transferred_flow const&) const = default;
};

/// How far a transfer got: the next bucket, as a position in the list of buckets, and the last hash sent of it.
struct transfer_cursor {
    size_t position = 0;
    std::optional<uint64_t> lastHash;
    auto operator<=>(transfer_cursor const&) const = default;
};

/// A part of a transfer.
struct transfer_batch {
    std::vector<transferred_flow> flows;
    transfer_cursor next;
    /// Whether this was the last part.
    bool done = false;
    auto operator<=>(transfer_batch const&) const = default;
};

/// Counts of decisions by rule since the start.
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
