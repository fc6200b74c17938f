#include <Placement/token_mapping_router.h>

#include <algorithm>

namespace bilberryyard {

namespace {

    std::string nameOf(server_id server) { return "server-" + std::to_string(server.value); }
    std::string nameOf(service_id service) { return "service-" + std::to_string(service.value); }

    constexpr duration sweepInterval = std::chrono::seconds(1);

    placement_settings settingsFor(size_t maximumFlows)
    {
        placement_settings settings;
        settings.maximumObservedFlows = maximumFlows;
        return settings;
    }

    backend_state stateOf(server_condition condition)
    {
        switch (condition) {
        case server_condition::Accepting:
            return backend_state::Ready;
        case server_condition::Closed:
            return backend_state::Draining;
        case server_condition::Dead:
            break;
        }
        return backend_state::Gone;
    }

    caller_packet toCallerPacket(parsed_packet const& packet)
    {
        caller_packet result;
        result.flowEndpoints
            = { { packet.key.source, packet.key.sourcePort }, { packet.key.destination, packet.key.destinationPort } };
        result.token = packet.token;
        result.sequence = packet.tcpSequence;
        result.acknowledgement = packet.tcpAcknowledgement;
        result.payloadBytes = packet.payloadLength;
        if (packet.kind == packet_kind::TcpSyn)
            result.purpose = packet_purpose::Open;
        else if ((packet.tcpFlags & tcp_flags::rst) != 0)
            result.purpose = packet_purpose::Abort;
        else if ((packet.tcpFlags & tcp_flags::fin) != 0)
            result.purpose = packet_purpose::Finish;
        return result;
    }

} // namespace

token_mapping_router::token_mapping_router(size_t maximumFlows)
    : m_router(settingsFor(maximumFlows), "", 1)
{
}

uint32_t token_mapping_router::tokenOf(server_id server) { return flowToken(nameOf(server)); }

void token_mapping_router::setView(std::shared_ptr<routing_view const> const& view)
{
    m_services.setView(view);
    for (auto const& [service, table] : view->tables) {
        for (uint32_t index = 0; index < table->bucketCount(); ++index) {
            for (auto const server : { table->at(index).current, table->at(index).base }) {
                if (server != noServer)
                    m_servers[tokenOf(server)] = { service, server };
            }
        }
    }
    for (auto const& [server, serverView] : view->servers) {
        if (serverView.service)
            m_servers[tokenOf(server)] = { *serverView.service, server };
    }
    for (auto const& [token, serviceAndServer] : m_servers) {
        auto const serverView = view->servers.find(serviceAndServer.second);
        // A host that has just started does not know every server yet. Open flows must not be reset because of that.
        if (serverView == view->servers.end())
            continue;
        backend_entry entry;
        entry.announcement.id = nameOf(serviceAndServer.second);
        entry.announcement.service = nameOf(serviceAndServer.first);
        entry.announcement.state = stateOf(serverView->second.condition);
        // Servers of the current set get new flows; the others only keep their open flows.
        auto const& current = m_services.serversOf(serviceAndServer.first);
        bool const isCurrent = std::binary_search(current.begin(), current.end(), serviceAndServer.second);
        if (!isCurrent && entry.announcement.state == backend_state::Ready)
            entry.announcement.state = backend_state::Draining;
        m_router.pool().update(entry, {});
    }
    route_table routes;
    routes.version = ++m_version;
    std::map<service_id, uint32_t> indices;
    for (auto const& endpoint : view->endpoints) {
        auto const [index, isNew]
            = indices.try_emplace(endpoint.service, static_cast<uint32_t>(routes.services.size()));
        if (isNew)
            routes.services.push_back({ nameOf(endpoint.service), 0 });
        service_route route;
        route.services = { { index->second, 1 } };
        routes.routes[{ endpoint.address, endpoint.port }] = route;
    }
    m_router.setRoutes(std::make_shared<route_table const>(std::move(routes)));
}

forwarding_action token_mapping_router::route(
    parsed_packet const& packet, packet_origin const& /*origin*/, monotonic_time now)
{
    if (now - m_sweptAt >= sweepInterval) {
        m_sweptAt = now;
        m_router.sweep(now);
    }
    auto const decision = m_router.decide(toCallerPacket(packet), now);
    if (auto const* const target = std::get_if<forward_packet>(&decision)) {
        auto const& [service, server] = m_servers.at(target->token);
        return forward_to_server { service, server };
    }
    if (std::holds_alternative<reset_flow>(decision)) {
        bool const isHandshake = packet.kind == packet_kind::TcpSyn;
        return reject_packet { isHandshake ? rejection_kind::ConnectionRefused : rejection_kind::ConnectionReset };
    }
    return drop_packet { drop_reason::NoServer };
}

} // namespace bilberryyard
