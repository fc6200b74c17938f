#include <Routing/baseline_services.h>

#include <set>
#include <utility>

namespace bilberryyard {

std::vector<service_id> baseline_services::setView(std::shared_ptr<routing_view const> const& view)
{
    auto const old = std::exchange(m_view, view);
    m_endpoints.setEndpoints(view->endpoints);
    m_admission.setServers(view->servers, view->peers.size() + 1);
    std::vector<service_id> changed;
    for (auto const& [service, table] : view->tables) {
        auto const before = old->tables.find(service);
        if (before != old->tables.end() && before->second == table)
            continue;
        std::set<server_id> servers;
        for (uint32_t index = 0; index < table->bucketCount(); ++index)
            servers.insert(table->at(index).current);
        servers.erase(noServer);
        std::vector<server_id> list(servers.begin(), servers.end());
        if (m_servers[service] == list)
            continue;
        m_servers[service] = std::move(list);
        changed.push_back(service);
    }
    return changed;
}

std::vector<server_id> const& baseline_services::serversOf(service_id service) const
{
    static std::vector<server_id> const none;
    auto const found = m_servers.find(service);
    return found == m_servers.end() ? none : found->second;
}

forwarding_action baseline_services::deliver(parsed_packet const& packet, service_id service, server_id server) const
{
    auto const condition = conditionOf(server);
    if (!condition)
        return drop_packet { drop_reason::NoServer };
    if (*condition != server_condition::Dead)
        return forward_to_server { service, server };
    if (packet.kind == packet_kind::TcpSegment && (packet.tcpFlags & tcp_flags::rst) == 0)
        return reject_packet { rejection_kind::ConnectionReset };
    if (packet.kind == packet_kind::Datagram)
        return reject_packet { rejection_kind::PortUnreachable };
    return drop_packet { drop_reason::ServerDead };
}

} // namespace bilberryyard
