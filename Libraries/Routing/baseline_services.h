#pragma once

#include <Routing/admission_control.h>
#include <Routing/endpoint_index.h>
#include <Routing/forwarding_action.h>
#include <map>
#include <memory>
#include <vector>

namespace bilberryyard {

/// What the baselines take from a view: services, conditions of servers, and the servers of each service,
/// which are those that its bucket table names as current.
class baseline_services {
public:
    /// @param view The view.
    /// @return Services whose set of servers differs from before.
    std::vector<service_id> setView(std::shared_ptr<routing_view const> const& view);

    /// @param key A flow.
    /// @return Its service, or nothing.
    std::optional<service_id> serviceOf(flow_key const& key) const { return m_endpoints.find(key); }

    /// @param service A service.
    /// @return Its servers in ascending order; empty for a service without a table.
    std::vector<server_id> const& serversOf(service_id service) const;

    /// @param server A server.
    /// @return Its condition, or nothing when this host has not heard of it.
    std::optional<server_condition> conditionOf(server_id server) const { return m_admission.conditionOf(server); }

    /// @param packet A packet.
    /// @param service Its service.
    /// @param server The server chosen for it.
    /// @return The action: forwarded unless the server is dead or unknown.
    forwarding_action deliver(parsed_packet const& packet, service_id service, server_id server) const;

    /// @param key A flow.
    /// @return Its hash.
    uint64_t hashOf(flow_key const& key) const { return hashFlow(key, m_view->hashSeed); }

    routing_view const& view() const { return *m_view; }

private:
    std::shared_ptr<routing_view const> m_view = std::make_shared<routing_view const>();
    endpoint_index m_endpoints;
    admission_control m_admission;
    std::map<service_id, std::vector<server_id>> m_servers;
};

} // namespace bilberryyard
