#pragma once

#include <Placement/token_router.h>
#include <Routing/baseline_services.h>
#include <map>

namespace bilberryyard {

/// Adapts token_router to the packet_router concept, for packet formats that carry a token (parsed_packet::token). It
/// relays no packets and uses only the servers and endpoints of a view, not its tables.
class token_mapping_router {
public:
    /// @param maximumFlows Largest number of flows that are tracked to balance the load.
    explicit token_mapping_router(size_t maximumFlows = 2'000'000);

    /// @return The token in the packets of the server's flows.
    static uint32_t tokenOf(server_id server);

    /// @param origin Ignored, since this router relays no packets.
    forwarding_action route(parsed_packet const& packet, packet_origin const& origin, monotonic_time now);

    /// @param view Must not be null.
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
