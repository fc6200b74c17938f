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

/// The forwarding decision of docs/design.md section 3.2.
class flow_router {
public:
    /// @param settings Times and bounds.
    explicit flow_router(flow_router_settings const& settings = {});
    flow_router(flow_router&&) = default;
    flow_router& operator=(flow_router&&) = default;
    // m_endpointRoutes points into m_routes.
    flow_router(flow_router const&) = delete;
    flow_router& operator=(flow_router const&) = delete;
    ~flow_router() = default;

    /// Decides about one packet.
    /// @param packet The parsed packet.
    /// @param origin The relay header when a peer sent it.
    /// @param now The time; never decreases.
    /// @return What to do with the packet.
    forwarding_action route(parsed_packet const& packet, packet_origin const& origin, monotonic_time now);

    /// Takes over a new view.
    /// @param view The view; must not be null.
    void setView(std::shared_ptr<routing_view const> const& view);

    /// Forgets idle and closed flows and those of buckets that this host is no witness of, in small steps.
    /// Must be called at least every 100 ms, also without traffic: a longer pause is taken for a suspension.
    /// @param now The time.
    /// @param entries About how many entries to visit.
    /// @return Number of entries forgotten.
    size_t expire(monotonic_time now, size_t entries);

    /// Explains where a packet of a flow other than its SYN goes from this host. Has no side effects.
    /// @param key The flow.
    /// @return The server or host, and the rule.
    flow_explanation explain(flow_key const& key) const;

    /// Reports what keeps a bucket from settling.
    /// @param service The service.
    /// @param index The bucket.
    /// @return Its usage; empty for an unknown service or bucket.
    bucket_usage usageOf(service_id service, uint32_t index) const;

    /// Reads the next explicit entries of some buckets, for a filling witness that knows its role already.
    /// @param service The service.
    /// @param buckets The buckets, the same list in each call of a transfer.
    /// @param cursor Where to go on; default-constructed in the first call.
    /// @param maximumFlows Largest number of entries to return.
    /// @return The entries and where to go on.
    transfer_batch exportFlows(service_id service, std::span<uint32_t const> buckets, transfer_cursor const& cursor,
        size_t maximumFlows) const;

    /// Adds entries that another witness exported. Existing entries win: they are newer.
    /// @param service The service.
    /// @param flows The entries; those of buckets that this host is no witness of are ignored.
    /// @param now The time.
    /// @return Number of entries added, or ResourceExhausted when the flow table is full.
    absl::StatusOr<size_t> importFlows(service_id service, std::span<transferred_flow const> flows, monotonic_time now);

    flow_table const& flows() const { return m_flows; }
    routing_counters const& counters() const { return m_counters; }

private:
    /// A packet with everything that was looked up for it.
    struct request {
        parsed_packet const& packet;
        packet_origin const& origin;
        monotonic_time now;
        flow_tick tick;
        flow_id id;
        service_routes& routes;
        uint32_t index = 0;

        bucket const& target() const { return routes.table()->at(index); }
        witness_plan const& plan() const { return routes.planOf(target()); }
        bool isDatagram() const { return packet.key.protocol != ip_protocol::Tcp; }
        uint8_t group() const { return origin ? origin->group : uint8_t { 0 }; }
    };

    /// Where a packet of a known flow goes.
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
    bool decidesAlone(monotonic_time now) const;
    service_routes const* routesOf(service_id service) const;
    flow_entry const* findLive(flow_id const& id, flow_tick tick) const;

    resolution resolve(service_routes const& routes, bucket const& target, flow_id const& id, uint8_t firstGroup,
        std::optional<host_id> sender, monotonic_time now) const;

    forwarding_action routeStable(request const& asked);
    forwarding_action routeSegment(request const& asked);
    forwarding_action routeRecord(request const& asked);
    forwarding_action routeForeignRecord(request const& asked);
    forwarding_action recordAsWitness(request const& asked, server_id server);
    forwarding_action relayToAnyPeer(request const& asked);

    forwarding_action routeOpening(request const& asked);
    forwarding_action answerForGroup(request const& asked, uint8_t group);
    forwarding_action openAsPrimary(request const& asked);
    forwarding_action openKnown(request const& asked, flow_entry& entry);
    forwarding_action openNew(request const& asked);
    forwarding_action useDatagramEntry(request const& asked, flow_entry& entry, uint8_t group);
    std::optional<server_id> chooseServer(request const& asked) const;
    std::optional<server_id> otherServer(request const& asked, server_id excluded) const;
    bool mayReassign(request const& asked, flow_entry const& entry) const;

    forwarding_action deliver(request const& asked, server_id server);
    forwarding_action relay(request const& asked, host_id host, relay_kind kind, uint8_t group, server_id server);
    forwarding_action share(request const& asked, server_id server, uint8_t group);
    forwarding_action reject(rejection_kind kind);
    bool noteProgress(request const& asked, flow_entry& entry) const;

    flow_router_settings m_settings;
    flow_timeouts m_timeouts;
    std::shared_ptr<routing_view const> m_view = std::make_shared<routing_view const>();
    endpoint_index m_endpoints;
    admission_control m_admission;
    /// References to elements of this map stay valid when others are added.
    std::unordered_map<service_id, service_routes> m_routes;
    /// By position in the view's endpoints.
    std::vector<service_routes*> m_endpointRoutes;
    flow_table m_flows;
    monotonic_time m_now = monotonic_time::min();
    monotonic_time m_resumed = monotonic_time::min();
    bool m_viewChanged = false;
    routing_counters m_counters;
};

static_assert(packet_router<flow_router>);

} // namespace bilberryyard
