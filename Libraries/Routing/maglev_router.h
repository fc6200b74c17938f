#pragma once

#include <Routing/baseline_services.h>
#include <Routing/flow_table.h>
#include <map>
#include <vector>

namespace bilberryyard {

/// Baseline with state on each host: Maglev hashing with a connection table (Eisenbud et al., "Maglev: A Fast and
/// Reliable Software Network Load Balancer", NSDI 2016, sections 3.3 and 3.4).
class maglev_router {
public:
    /// @param maximumFlows Largest number of flows in the connection table of this host.
    /// @param tableSize Size of the lookup table. Must be a prime much larger than the number of servers.
    explicit maglev_router(size_t maximumFlows = 2'000'000, uint32_t tableSize = 65'537);

    /// Decides what to do with one packet.
    /// @param origin Ignored, because this router never relays packets.
    forwarding_action route(parsed_packet const& packet, packet_origin const& origin, monotonic_time now);

    /// @param view Must not be null.
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
