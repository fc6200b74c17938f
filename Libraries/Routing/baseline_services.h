#pragma once

#include <Routing/admission_control.h>
#include <Routing/endpoint_index.h>
#include <Routing/forwarding_action.h>
#include <map>
#include <memory>
#include <vector>

namespace bilberryyard {

/// The parts of a view that the baselines use: the services, the conditions of the servers, and the servers of each
/// service, which are those that are current in its bucket table.
class baseline_services {
public:
    /// @param view Must not be null.
    /// @return Services whose set of servers has changed.
    std::vector<service_id> setView(std::shared_ptr<routing_view const> const& view);

    /// @return The service of the flow's destination, if any.
    std::optional<service_id> serviceOf(flow_key const& key) const { return m_endpoints.find(key); }

    /// @return The servers of the service in ascending order; empty for a service without a table.
    std::vector<server_id> const& serversOf(service_id service) const;

    /// @return The condition; nullopt for a server that this host has not discovered.
    std::optional<server_condition> conditionOf(server_id server) const { return m_admission.conditionOf(server); }

    /// @param server The server chosen for the packet.
    /// @return Forwards the packet to the server, or rejects or drops it when the server is dead or unknown.
    forwarding_action deliver(parsed_packet const& packet, service_id service, server_id server) const;

    /// @return The hash of the flow with the hash seed of the view.
    uint64_t hashOf(flow_key const& key) const { return hashFlow(key, m_view->hashSeed); }

    routing_view const& view() const { return *m_view; }

private:
    std::shared_ptr<routing_view const> m_view = std::make_shared<routing_view const>();
    endpoint_index m_endpoints;
    admission_control m_admission;
    std::map<service_id, std::vector<server_id>> m_servers;
};

} // namespace bilberryyard
