#pragma once

#include <Routing/baseline_services.h>
#include <Routing/flow_table.h>
#include <map>
#include <vector>

namespace bilberryyard {

/// Baseline: Maglev hashing with a connection table on each host (Eisenbud et al., "Maglev: A Fast and
/// Reliable Software Network Load Balancer", NSDI 2016, sections 3.3 and 3.4).
class maglev_router {
public:
    /// @param maximumFlows Bound on the flows tracked by this host.
    /// @param tableSize Size of the lookup table, a prime much larger than the number of servers.
    explicit maglev_router(size_t maximumFlows = 2'000'000, uint32_t tableSize = 65'537);

    /// @param packet The parsed packet.
    /// @param origin The relay header; this router relays nothing and ignores it.
    /// @param now The time.
    /// @return What to do with the packet.
    forwarding_action route(parsed_packet const& packet, packet_origin const& origin, monotonic_time now);

    /// @param view The view; must not be null.
    void setView(std::shared_ptr<routing_view const> const& view);

    flow_table const& flows() const { return m_flows; }

private:
    std::vector<server_id> populate(std::vector<server_id> const& servers) const;

    uint32_t m_tableSize;
    baseline_services m_services;
    std::map<service_id, std::vector<server_id>> m_lookupTables;
    flow_table m_flows;
};

static_assert(packet_router<maglev_router>);

} // namespace bilberryyard
