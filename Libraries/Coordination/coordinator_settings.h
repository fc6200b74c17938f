#pragma once

#include <Base/identifiers.h>
#include <Base/monotonic_time.h>
#include <Membership/health_types.h>
#include <Membership/peer_view.h>
#include <Membership/server_directory.h>
#include <Packet/ip_endpoint.h>
#include <Routing/planner_types.h>
#include <Routing/routing_view.h>
#include <chrono>
#include <compare>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace bilberryyard {

/// The part of a service's configuration that the coordinator uses.
struct routed_service {
    service_id id;
    std::string name;
    std::vector<ip_address> addresses;
    uint16_t port = 0;
    ip_protocol protocol = ip_protocol::Tcp;
    uint32_t bucketCount = 4096;
    double weight = 1.0;
    /// Upper bound for the connection limits that servers announce; 0 means none.
    uint32_t connectionLimit = 0;
    auto operator<=>(routed_service const&) const = default;
};

/// Settings of one backend server that differ from those of its service.
struct server_override {
    bool drain = false;
    double weight = 1.0;
    uint32_t connectionLimit = 0;
    auto operator<=>(server_override const&) const = default;
};

/// The part of a configuration revision that the coordinator uses.
struct coordinated_configuration {
    uint64_t revision = 0;
    std::vector<routed_service> services;
    std::map<std::string, zone_id> zones;
    std::map<ip_endpoint, server_override> serverOverrides;
    std::chrono::milliseconds flowIdleTimeout { 900'000 };
    std::chrono::milliseconds datagramIdleTimeout { 30'000 };
    planner_settings planner;
    health_settings health;
    auto operator<=>(coordinated_configuration const&) const = default;
};

/// Settings of one host's coordinator.
struct coordinator_settings {
    routed_peer self;
    zone_id zone;
    /// Entry hosts of the deployment, this one included.
    std::set<host_id> entryHosts;
    uint64_t hashSeed = 0;
    peer_settings peers;
    directory_settings directory;
    planner_settings planner;
    /// Bounds the time until a failure is detected: five heartbeats fit into the failure timeout of 2 s, one of which
    /// may be lost.
    duration heartbeatInterval = std::chrono::milliseconds { 400 };
    /// Servers announce themselves every second, so records need not be sent more often.
    duration recordInterval = std::chrono::milliseconds { 1'000 };
    duration requestInterval = std::chrono::milliseconds { 200 };
    /// One batch of 100 entries of 10 bytes every 500 ms uses less than 2 KB/s.
    duration fillInterval = std::chrono::milliseconds { 500 };
    size_t fillBatchSize = 100;
    /// Number of buckets that are checked for settling in one step; the full table of a service takes a few seconds.
    uint32_t settleScanBuckets = 512;
    auto operator<=>(coordinator_settings const&) const = default;
};

} // namespace bilberryyard
