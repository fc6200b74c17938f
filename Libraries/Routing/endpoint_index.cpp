#include <Routing/endpoint_index.h>

#include <algorithm>
#include <bit>

namespace bilberryyard {

void endpoint_index::setEndpoints(std::vector<service_endpoint> const& endpoints)
{
    if (endpoints == m_endpoints)
        return;
    m_endpoints = endpoints;
    m_slots.assign(std::bit_ceil(std::max<size_t>(2, endpoints.size() * 2)), {});
    for (size_t position = 0; position < endpoints.size(); ++position) {
        auto const& endpoint = endpoints[position];
        auto entry = slotFor(endpoint.address, endpoint.port, endpoint.protocol);
        auto index = entry.firstIndex(m_slots.size());
        while (m_slots[index].position != freeSlot)
            index = (index + 1) & (m_slots.size() - 1);
        entry.position = static_cast<uint32_t>(position);
        m_slots[index] = entry;
    }
}

} // namespace bilberryyard
