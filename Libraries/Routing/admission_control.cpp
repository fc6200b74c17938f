#include <Routing/admission_control.h>

#include <algorithm>
#include <bit>
#include <utility>

namespace bilberryyard {

void admission_control::setServers(std::map<server_id, routed_server> const& servers, size_t liveHosts)
{
    auto old = std::exchange(m_slots, std::vector<slot>(std::bit_ceil(std::max<size_t>(2, servers.size() * 2))));
    m_liveHosts = std::max<size_t>(1, liveHosts);
    for (auto const& [id, server] : servers) {
        auto index = firstSlot(id);
        while (m_slots[index].used)
            index = (index + 1) & (m_slots.size() - 1);
        m_slots[index] = { server, 0, true };
        m_slots[index].server.id = id;
    }
    for (auto const& previous : old) {
        auto const* same = previous.used ? find(previous.server.id) : nullptr;
        if (same && same->server.reportSequence == previous.server.reportSequence)
            const_cast<slot*>(same)->assigned = previous.assigned;
    }
}

uint64_t admission_control::estimateOf(server_id server) const
{
    auto const* found = find(server);
    return found ? found->server.reportedConnections + uint64_t { found->assigned } * m_liveHosts : 0;
}

bool admission_control::isFull(server_id server) const
{
    auto const* found = find(server);
    if (found && found->server.newFlows == new_flow_policy::Refused)
        return true;
    return found && found->server.connectionLimit != 0 && estimateOf(server) >= found->server.connectionLimit;
}

void admission_control::countAssigned(server_id server)
{
    if (auto const* found = find(server))
        ++const_cast<slot*>(found)->assigned;
}

admission_control::slot const* admission_control::find(server_id server) const
{
    for (auto index = firstSlot(server); m_slots[index].used; index = (index + 1) & (m_slots.size() - 1)) {
        if (m_slots[index].server.id == server)
            return &m_slots[index];
    }
    return nullptr;
}

} // namespace bilberryyard
