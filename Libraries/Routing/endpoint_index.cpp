#include <Routing/endpoint_index.h>

#include <algorithm>
#include <bit>
#include <cstring>

namespace bilberryyard {

void endpoint_index::setEndpoints(std::vector<service_endpoint> const& endpoints)
{
    if (endpoints == m_endpoints)
        return;
    m_endpoints = endpoints;
    m_slots.assign(std::bit_ceil(std::max<size_t>(2, endpoints.size() * 2)), 0);
    for (size_t position = 0; position < endpoints.size(); ++position) {
        auto index = hashOf(endpoints[position].address, endpoints[position].port) & (m_slots.size() - 1);
        while (m_slots[index] != 0)
            index = (index + 1) & (m_slots.size() - 1);
        m_slots[index] = static_cast<uint32_t>(position + 1);
    }
}

std::optional<service_id> endpoint_index::find(flow_key const& key) const
{
    auto index = hashOf(key.destination, key.destinationPort) & (m_slots.size() - 1);
    for (; m_slots[index] != 0; index = (index + 1) & (m_slots.size() - 1)) {
        auto const& endpoint = m_endpoints[m_slots[index] - 1];
        if (endpoint.port == key.destinationPort && endpoint.protocol == key.protocol
            && endpoint.address == key.destination)
            return endpoint.service;
    }
    return std::nullopt;
}

size_t endpoint_index::hashOf(ip_address const& address, uint16_t port)
{
    uint64_t high = 0;
    uint64_t low = 0;
    std::memcpy(&high, address.bytes.data(), sizeof(high));
    std::memcpy(&low, address.bytes.data() + sizeof(high), sizeof(low));
    auto const mixed = (high * 0x9E3779B97F4A7C15ULL) ^ (low + port) * 0xC2B2AE3D27D4EB4FULL;
    return static_cast<size_t>(mixed ^ mixed >> 32);
}

} // namespace bilberryyard
