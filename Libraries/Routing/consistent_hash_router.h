#pragma once

#include <Routing/baseline_services.h>
#include <map>
#include <utility>
#include <vector>

namespace bilberryyard {

/// Baseline without flow state: consistent hashing on a ring with virtual nodes (Karger et al., STOC 1997).
class consistent_hash_router {
public:
    /// @param pointsPerServer Number of virtual nodes of each server.
    explicit consistent_hash_router(uint32_t pointsPerServer = 160);

    /// Decides what to do with one packet.
    /// @param origin Ignored, because this router never relays packets.
    forwarding_action route(parsed_packet const& packet, packet_origin const& origin, monotonic_time now);

    /// @param view Must not be null.
    void setView(std::shared_ptr<routing_view const> const& view);

private:
    using ring = std::vector<std::pair<uint64_t, server_id>>;

    uint32_t m_pointsPerServer;
    baseline_services m_services;
    std::map<service_id, ring> m_rings;
};

static_assert(packet_router<consistent_hash_router>);

} // namespace bilberryyard
