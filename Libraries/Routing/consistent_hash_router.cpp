#include <Routing/consistent_hash_router.h>

#include <Base/hashing.h>
#include <algorithm>

namespace bilberryyard {

consistent_hash_router::consistent_hash_router(uint32_t pointsPerServer)
    : m_pointsPerServer(pointsPerServer)
{
}

forwarding_action consistent_hash_router::route(
    parsed_packet const& packet, packet_origin const& /*origin*/, monotonic_time /*now*/)
{
    auto const service = m_services.serviceOf(packet.key);
    if (!service)
        return drop_packet { drop_reason::NoService };
    auto const found = m_rings.find(*service);
    if (found == m_rings.end() || found->second.empty())
        return drop_packet { drop_reason::NoServer };
    auto const& points = found->second;
    auto const next
        = std::upper_bound(points.begin(), points.end(), std::pair { m_services.hashOf(packet.key), noServer });
    auto const server = next == points.end() ? points.front().second : next->second;
    return m_services.deliver(packet, *service, server);
}

void consistent_hash_router::setView(std::shared_ptr<routing_view const> const& view)
{
    for (auto const service : m_services.setView(view)) {
        auto& points = m_rings[service];
        points.clear();
        for (auto const server : m_services.serversOf(service)) {
            for (uint32_t point = 0; point < m_pointsPerServer; ++point)
                points.emplace_back(hashPair(server.value, point), server);
        }
        std::sort(points.begin(), points.end());
    }
}

} // namespace bilberryyard
