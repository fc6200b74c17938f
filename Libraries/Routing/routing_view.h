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

/// Whether a backend server accepts new flows and still serves existing ones.
enum class server_condition : uint8_t {
    /// Accepts new flows.
    Accepting,
    /// Serves its flows but accepts no new ones: draining, full, ejected or unreachable.
    Closed,
    /// The server is down and its flows are lost.
    Dead,
};

/// Whether a SYN may still be sent to a server that its bucket names.
enum class new_flow_policy : uint8_t {
    Allowed,
    /// The server has been leaving for so long that it must not receive new flows because of a late bucket change
    /// (P6). A SYN is dropped; the bucket will have changed by the time the caller retransmits it.
    Refused,
};

/// What a router needs to know about a backend server.
struct routed_server {
    server_id id;
    server_condition condition = server_condition::Accepting;
    /// Largest number of open flows; 0 means no limit.
    uint32_t connectionLimit = 0;
    /// Number of open flows in its last report.
    uint32_t reportedConnections = 0;
    /// Increases by one with each report, so that a router can detect a new report.
    uint32_t reportSequence = 0;
    /// The service that the server registered for. When known, no packet of another service is sent to it (P2).
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

/// Whether this host has the current tables (docs/design.md section 3.2, unsynchronised host).
enum class synchronisation : uint8_t {
    /// Received a message from the planner within the peer lease.
    Synchronised,
    /// Receives no messages from the planner but some from other peers; relays all packets to them.
    Unsynchronised,
    /// Receives from no peer; forwards by its own table and entries.
    Isolated,
};

/// All inputs of a forwarding decision besides the flow table. Immutable; replaced by a new view on any change.
struct routing_view {
    routed_peer self;
    synchronisation state = synchronisation::Synchronised;
    /// End of the peer lease. A host that resumes after a suspension may handle packets before its membership worker
    /// detects the expiry, so the router itself treats a view as unsynchronised after this time.
    monotonic_time synchronisedUntil = monotonic_time::max();
    /// Live entry hosts other than this one, in ascending order of host identifier.
    std::vector<routed_peer> peers;
    std::vector<service_endpoint> endpoints;
    std::map<service_id, std::shared_ptr<bucket_table const>> tables;
    std::map<server_id, routed_server> servers;
    uint64_t hashSeed = 0;
    /// Entries of datagram flows expire after this time without a packet.
    std::chrono::milliseconds datagramIdleTimeout { 30'000 };
    /// Entries of TCP flows expire after this time without a packet.
    std::chrono::milliseconds flowIdleTimeout { 900'000 };
};

} // namespace bilberryyard
