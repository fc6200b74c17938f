#include "known_hosts.h"

#include <algorithm>

namespace bilberryyard {

known_hosts::known_hosts(ip_endpoint const& self)
    : m_self(self)
{
}

void known_hosts::updateHost(fleet_host const& host, monotonic_time now)
{
    if (host.peer == m_self)
        return;
    auto const lastSeenAt = now - host.age;
    auto& known = m_hosts[host.peer];
    if (known.lastSeenAt > lastSeenAt && !known.host.name.empty())
        return;
    known = { host, lastSeenAt };
}

std::vector<fleet_host> known_hosts::list(host_role role, monotonic_time now, duration maximumAge) const
{
    std::vector<fleet_host> result;
    for (auto const& [peer, known] : m_hosts) {
        if (known.host.role != role || now - known.lastSeenAt > maximumAge)
            continue;
        result.push_back(known.host);
        result.back().age = now - known.lastSeenAt;
    }
    return result;
}

known_hosts::known_host const* known_hosts::find(ip_endpoint const& peer) const
{
    auto const known = m_hosts.find(peer);
    return known == m_hosts.end() ? nullptr : &known->second;
}

void known_hosts::expire(monotonic_time now, duration maximumAge)
{
    std::erase_if(m_hosts, [&](auto const& item) { return now - item.second.lastSeenAt > maximumAge; });
}

} // namespace bilberryyard
