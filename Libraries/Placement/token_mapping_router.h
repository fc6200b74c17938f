#pragma once

#include <Placement/token_router.h>
#include <Routing/baseline_services.h>
#include <map>

namespace bilberryyard {

/// The mapping by flow tokens behind the concept of the other mappings, for packet formats that carry a token
/// (parsed_packet::token). It relays nothing and needs no tables: a view gives it servers and endpoints alone.
class token_mapping_router {
public:
    /// @param maximumFlows Bound on the flows that are observed for the sake of balance.
    explicit token_mapping_router(size_t maximumFlows = 2'000'000);

    /// @param server A server.
    /// @return The token that its flows carry.
    static uint32_t tokenOf(server_id server);

    /// @param packet The parsed packet.
    /// @param origin The relay header; this router relays nothing and ignores it.
    /// @param now The time.
    /// @return What to do with the packet.
    forwarding_action route(parsed_packet const& packet, packet_origin const& origin, monotonic_time now);

    /// @param view The view; must not be null.
    void setView(std::shared_ptr<routing_view const> const& view);

    size_t observedFlows() const { return m_router.observedFlows(); }

private:
    baseline_services m_services;
    token_router m_router;
    std::map<uint32_t, std::pair<service_id, server_id>> m_servers;
    uint64_t m_version = 0;
    monotonic_time m_sweptAt;
};

static_assert(packet_router<token_mapping_router>);

} // namespace bilberryyard
