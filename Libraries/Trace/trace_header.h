#pragma once

#include <Base/identifiers.h>
#include <Base/monotonic_time.h>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace bilberryyard {

struct trace_zone {
    zone_id id;
    std::string name;
    auto operator<=>(trace_zone const&) const = default;
};

/// A host of the system and its availability zone.
struct trace_host {
    host_id id;
    zone_id zone;
    auto operator<=>(trace_host const&) const = default;
};

/// First record of a trace; describes the deployment to which the inputs belong.
struct trace_header {
    std::string name;
    std::string deployment;
    /// Seed of the random values in a replay.
    uint64_t seed = 0;
    uint64_t hashSeed = 0;
    std::vector<trace_zone> zones;
    /// One-way delays between two zones, within a zone, and to callers.
    duration zoneDelay {};
    duration localDelay {};
    duration callerDelay {};
    std::vector<trace_host> entryHosts;
    std::vector<trace_host> controlHosts;
    /// YAML of the configuration at the start, which has revision 1.
    std::string configuration;
    duration length {};
    /// Time since the start of the trace from which imbalance is measured.
    duration imbalanceFrom {};
    auto operator<=>(trace_header const&) const = default;
};

} // namespace bilberryyard
