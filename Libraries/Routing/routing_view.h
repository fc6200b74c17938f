#pragma once

#include <Base/identifiers.h>
#include <Base/monotonic_time.h>
#include <Packet/flow_key.h>
#include <Routing/bucket_table.h>
#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace bilberryyard {

/// Whether a backend server takes new flows and answers old ones.
enum class server_condition : uint8_t {
    /// Takes new flows.
    Accepting,
    /// Keeps its flows and takes no new ones: draining, full, ejected or out of reach.
    Closed,
    /// Its flows are lost.
    Dead,
};

/// Whether a SYN may still be sent to a server that its bucket names.
enum class new_flow_policy : uint8_t {
    Allowed,
    /// The server has been leaving for so long that a late bucket change must not bring it new work (P6): a SYN is
    /// dropped, and the caller's retransmission finds the changed bucket.
    Refused,
};

/// What a router needs to know of a backend server.
struct routed_server {
    server_id id;
    server_condition condition = server_condition::Accepting;
    /// Flows it may hold; 0 means no limit.
    uint32_t connectionLimit = 0;
    /// Open flows by its last report.
    uint32_t reportedConnections = 0;
    /// Increases by one with each report, so that a router can tell a new report from an old one.
    uint32_t reportSequence = 0;
    /// The service it registered for. When known, no packet of another service is sent to it (P2).
    std::optional<service_id> service = std::nullopt;
    new_flow_policy newFlows = new_flow_policy::Allowed;
    auto operator<=>(routed_server const&) const = default;
};

/// A live entry host.
struct routed_peer {
    host_id host;
    uint32_t incarnation = 0;
    auto operator<=>(routed_peer const&) const = default;
};

/// How a destination address and port map to a service.
struct service_endpoint {
    ip_address address;
    uint16_t port = 0;
    ip_protocol protocol = ip_protocol::Tcp;
    service_id service;
    auto operator<=>(service_endpoint const&) const = default;
};

/// Whether this host knows the current tables (docs/design.md section 3.2, unsynchronised host).
enum class synchronisation : uint8_t {
    /// Heard the planner within the peer lease.
    Synchronised,
    /// Lost the planner but hears other peers: relays everything.
    Unsynchronised,
    /// Hears no peer at all: decides alone.
    Isolated,
};

/// All that a forwarding decision depends on, besides the flow table. Replaced as a whole, never changed.
struct routing_view {
    routed_peer self;
    synchronisation state = synchronisation::Synchronised;
    /// End of the peer lease. A host that resumes after a suspension may handle packets before its membership
    /// duty notices, so the router itself treats a view as unsynchronised after this time.
    monotonic_time synchronisedUntil = monotonic_time::max();
    /// Live entry hosts without this one, in ascending order of host.
    std::vector<routed_peer> peers;
    std::vector<service_endpoint> endpoints;
    std::map<service_id, std::shared_ptr<bucket_table const>> tables;
    std::map<server_id, routed_server> servers;
    uint64_t hashSeed = 0;
    /// Datagram flows end after this time without a packet.
    std::chrono::milliseconds datagramIdleTimeout { 30'000 };
    /// TCP entries are forgotten after this time without a packet.
    std::chrono::milliseconds flowIdleTimeout { 900'000 };
};

} // namespace bilberryyard
