#pragma once

#include <Routing/routing_view.h>
#include <cstddef>
#include <optional>
#include <vector>

namespace bilberryyard {

/// Finds the service of a destination address, port and protocol.
class endpoint_index {
public:
    /// @param endpoints All endpoints; of two that are equal but for the service, the first counts.
    void setEndpoints(std::vector<service_endpoint> const& endpoints);

    /// @param key A flow towards a service.
    /// @return The service, or nothing.
    std::optional<service_id> find(flow_key const& key) const;

private:
    static size_t hashOf(ip_address const& address, uint16_t port);

    std::vector<service_endpoint> m_endpoints;
    /// Positions in m_endpoints plus one, 0 for a free slot; open addressing, at most half full.
    std::vector<uint32_t> m_slots = std::vector<uint32_t>(2);
};

} // namespace bilberryyard
