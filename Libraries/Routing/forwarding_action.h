#pragma once

#include <Base/identifiers.h>
#include <Base/monotonic_time.h>
#include <Packet/parsed_packet.h>
#include <Packet/relay_header.h>
#include <Routing/routing_view.h>
#include <compare>
#include <concepts>
#include <memory>
#include <optional>
#include <variant>

namespace bilberryyard {

/// Encapsulate the packet and send it to a backend server.
struct forward_to_server {
    service_id service;
    server_id server;
    auto operator<=>(forward_to_server const&) const = default;
};

/// Send the packet to another balancer behind this header.
struct relay_to_host {
    host_id host;
    relay_header header;
    auto operator<=>(relay_to_host const&) const = default;
};

/// The reply to a caller whose packet cannot be forwarded.
enum class rejection_kind : uint8_t {
    /// For a SYN that no server admits: an RST that acknowledges the SYN (RFC 9293 section 3.10.7.1). It implies that
    /// no request was executed, so it is only used when no payload was forwarded.
    ConnectionRefused,
    /// For a segment of a flow whose server is dead: an RST, which does not imply whether a request was executed.
    ConnectionReset,
    /// For a datagram without a server: ICMP port unreachable.
    PortUnreachable,
};

/// Reply to the caller with a rejection.
struct reject_packet {
    rejection_kind kind;
    auto operator<=>(reject_packet const&) const = default;
};

/// Drop and count the packet.
struct drop_packet {
    drop_reason reason;
    auto operator<=>(drop_packet const&) const = default;
};

using forwarding_action = std::variant<forward_to_server, relay_to_host, reject_packet, drop_packet>;

/// The relay header of a packet that a peer relayed; empty for a packet from the fabric.
using packet_origin = std::optional<relay_header>;

/// A forwarding policy: flow_router, or one of the baselines that it is compared with.
template <typename Router>
concept packet_router = requires(Router router, parsed_packet const& packet, packet_origin const& origin,
    monotonic_time now, std::shared_ptr<routing_view const> view)
{
    {
        router.route(packet, origin, now)
        } -> std::same_as<forwarding_action>;
    { router.setView(view) };
};

} // namespace bilberryyard
