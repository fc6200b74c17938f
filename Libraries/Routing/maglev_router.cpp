#include <Routing/maglev_router.h>

#include <Base/hashing.h>

namespace bilberryyard {

maglev_router::maglev_router(size_t maximumFlows, uint32_t tableSize)
    : m_tableSize(tableSize)
    , m_flows(maximumFlows)
{
}

forwarding_action maglev_router::route(parsed_packet const& packet, packet_origin const& /*origin*/, monotonic_time now)
{
    auto const service = m_services.serviceOf(packet.key);
    if (!service)
        return drop_packet { drop_reason::NoService };
    auto const& table = m_lookupTables[*service];
    if (table.empty())
        return drop_packet { drop_reason::NoServer };
    auto const hash = m_services.hashOf(packet.key);
    flow_id const id { hash, static_cast<uint16_t>(service->value) };
    auto* entry = m_flows.find(id);
    if (entry && m_services.conditionOf(entry->server).value_or(server_condition::Dead) != server_condition::Dead) {
        entry->lastSeen = tickOf(now);
        return forward_to_server { *service, entry->server };
    }
    auto const server = table[hash % m_tableSize];
    if (packet.kind != packet_kind::IcmpError)
        m_flows.put({ hash, server, tickOf(now), 0, id.service, flow_state::Established, 0 }, tickOf(now));
    return m_services.deliver(packet, *service, server);
}

void maglev_router::setView(std::shared_ptr<routing_view const> const& view)
{
    for (auto const service : m_services.setView(view))
        m_lookupTables[service] = populate(m_services.serversOf(service));
}

// Section 3.4 of the paper: in rotation, each server fills the next free position of its own permutation.
std::vector<server_id> maglev_router::populate(std::vector<server_id> const& servers) const
{
    std::vector<server_id> table(servers.empty() ? 0 : m_tableSize, noServer);
    std::vector<uint64_t> next(servers.size(), 0);
    size_t filled = 0;
    while (filled < table.size()) {
        for (size_t index = 0; index < servers.size() && filled < table.size(); ++index) {
            auto const offset = hashPair(servers[index].value, 1) % m_tableSize;
            auto const skip = hashPair(servers[index].value, 2) % (m_tableSize - 1) + 1;
            auto position = (offset + next[index] * skip) % m_tableSize;
            while (table[position] != noServer)
                position = (offset + ++next[index] * skip) % m_tableSize;
            table[position] = servers[index];
            ++next[index];
            ++filled;
        }
    }
    return table;
}

} // namespace bilberryyard
