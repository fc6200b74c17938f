#pragma once

#include <Routing/admission_control.h>
#include <Routing/endpoint_index.h>
#include <Routing/flow_explanation.h>
#include <Routing/flow_router_settings.h>
#include <Routing/flow_table.h>
#include <Routing/forwarding_action.h>
#include <Routing/service_routes.h>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>

namespace bilberryyard {

/// Decides where each packet is forwarded, by the rules of docs/design.md section 3.2.
class flow_router {
public:
    explicit flow_router(flow_router_settings const& settings = {});
    flow_router(flow_router&&) = default;
    flow_router& operator=(flow_router&&) = default;
    // m_endpointRoutes points into m_routes.
    flow_router(flow_router const&) = delete;
    flow_router& operator=(flow_router const&) = delete;
    ~flow_router() = default;

    /// Decides what to do with one packet.
    /// @param origin The relay header of a packet that a peer relayed; empty for a packet from the fabric.
    /// @param now Must not decrease from call to call.
    forwarding_action route(parsed_packet const& packet, packet_origin const& origin, monotonic_time now);

    /// Replaces the view and removes the entries that are void under the new one.
    /// @param view Must not be null.
    void setView(std::shared_ptr<routing_view const> const& view);

    /// Removes the entries of idle and closed flows and of buckets that this host is not a witness of, in small
    /// steps. Must be called at least every 100 ms, also without traffic, because a pause longer than
    /// flow_router_settings::suspensionThreshold is treated as a suspension of the host.
    /// @param entries Approximate number of entries to visit.
    /// @return Number of entries removed.
    size_t expire(monotonic_time now, size_t entries);

    /// Explains where this host would send a packet of the flow that is not a SYN. Has no side effects.
    /// @return The rule, and the server or the host that it leads to.
    flow_explanation explain(flow_key const& key) const;

    /// Reports which entries and lookups prevent a bucket from settling.
    /// @return The usage; default-constructed for an unknown service or bucket.
    bucket_usage usageOf(service_id service, uint32_t index) const;

    /// Reads the next batch of explicit entries of some buckets, to be sent to a filling witness. The filling
    /// witness must already have its role, so that it also receives the entries that are created meanwhile.
    /// @param buckets Must be the same list in each call of a transfer.
    /// @param cursor The position to continue from: the `next` of the previous batch, default-constructed at first.
    /// @param maximumFlows Largest number of entries in the batch.
    transfer_batch exportFlows(service_id service, std::span<uint32_t const> buckets, transfer_cursor const& cursor,
        size_t maximumFlows) const;

    /// Adds entries that another witness exported. Existing entries are kept because they are newer.
    /// @param flows Entries of buckets that this host is not a witness of are ignored.
    /// @return Number of entries added; NotFound without a table of the service, ResourceExhausted when the flow
    ///     table is full.
    absl::StatusOr<size_t> importFlows(service_id service, std::span<transferred_flow const> flows, monotonic_time now);

    flow_table const& flows() const { return m_flows; }
    routing_counters const& counters() const { return m_counters; }

private:
    /// A packet together with what was looked up for it.
    struct packet_context {
        parsed_packet const& packet;
        packet_origin const& origin;
        monotonic_time now;
        flow_tick tick;
        flow_id id;
        service_routes& routes;
        uint32_t index = 0;

        bucket const& target() const { return routes.table()->at(index); }
        witness_set_view const& witnesses() const { return routes.witnessViewOf(target()); }
        bool isDatagram() const { return packet.key.protocol != ip_protocol::Tcp; }
        uint8_t group() const { return origin ? origin->group : uint8_t { 0 }; }
    };

    /// Result of looking up the server of a flow.
    struct resolution {
        routing_rule rule = routing_rule::NoWitness;
        server_id server = noServer;
        host_id host;
        uint8_t group = 0;
        flow_entry const* entry = nullptr;
    };

    void observe(monotonic_time now);
    bool wasSuspended() const;
    bool isSynchronised(monotonic_time now) const;
    bool isIsolated(monotonic_time now) const;
    service_routes const* routesOf(service_id service) const;
    flow_entry const* findUnexpired(flow_id const& id, flow_tick tick) const;

    resolution resolve(service_routes const& routes, bucket const& target, flow_id const& id, uint8_t firstGroup,
        std::optional<host_id> sender, monotonic_time now) const;

    forwarding_action routeStable(packet_context const& context);
    forwarding_action routeSegment(packet_context const& context);
    forwarding_action routeRecord(packet_context const& context);
    forwarding_action routeRecordAsNonWitness(packet_context const& context);
    forwarding_action recordAsWitness(packet_context const& context, server_id server);
    forwarding_action relayToAnyPeer(packet_context const& context);

    forwarding_action routeOpening(packet_context const& context);
    forwarding_action routeGroupLookup(packet_context const& context, uint8_t group);
    forwarding_action openAsPrimary(packet_context const& context);
    forwarding_action openWithEntry(packet_context const& context, flow_entry& entry);
    forwarding_action openNewFlow(packet_context const& context);
    forwarding_action useDatagramEntry(packet_context const& context, flow_entry& entry, uint8_t group);
    std::optional<server_id> chooseServer(packet_context const& context) const;
    std::optional<server_id> otherServer(packet_context const& context, server_id excluded) const;
    bool mayReassign(packet_context const& context, flow_entry const& entry) const;

    forwarding_action deliver(packet_context const& context, server_id server);
    forwarding_action relay(
        packet_context const& context, host_id host, relay_kind kind, uint8_t group, server_id server);
    forwarding_action share(packet_context const& context, server_id server, uint8_t group);
    forwarding_action reject(rejection_kind kind);
    bool recordProgress(packet_context const& context, flow_entry& entry) const;

    flow_router_settings m_settings;
    flow_timeouts m_timeouts;
    std::shared_ptr<routing_view const> m_view = std::make_shared<routing_view const>();
    endpoint_index m_endpoints;
    admission_control m_admission;
    /// Insertion does not invalidate references to elements, which m_endpointRoutes relies on.
    std::unordered_map<service_id, service_routes> m_routes;
    /// Indexed like the endpoints of the view.
    std::vector<service_routes*> m_endpointRoutes;
    flow_table m_flows;
    monotonic_time m_now = monotonic_time::min();
    monotonic_time m_resumedAt = monotonic_time::min();
    bool m_viewChanged = false;
    routing_counters m_counters;
};

static_assert(packet_router<flow_router>);

} // namespace bilberryyard
