#pragma once

#include <Routing/baseline_services.h>
#include <map>
#include <utility>
#include <vector>

namespace bilberryyard {

/// Baseline without state: consistent hashing on a ring with virtual nodes (Karger et al., STOC 1997).
class consistent_hash_router {
public:
    /// @param pointsPerServer Virtual nodes of each server.
    explicit consistent_hash_router(uint32_t pointsPerServer = 160);

    /// @param packet The parsed packet.
    /// @param origin The relay header; this router relays nothing and ignores it.
    /// @param now The time.
    /// @return What to do with the packet.
    forwarding_action route(parsed_packet const& packet, packet_origin const& origin, monotonic_time now);

    /// @param view The view; must not be null.
    void setView(std::shared_ptr<routing_view const> const& view);

private:
    using ring = std::vector<std::pair<uint64_t, server_id>>;

    uint32_t m_pointsPerServer;
    baseline_services m_services;
    std::map<service_id, ring> m_rings;
};

static_assert(packet_router<consistent_hash_router>);

} // namespace bilberryyard
