#include <Placement/route_difference.h>

namespace bilberryyard {

std::optional<route_difference> makeRouteDifference(route_table const& earlier, route_table const& later)
{
    if (earlier.version == 0 || later.version <= earlier.version || earlier.services != later.services)
        return std::nullopt;
    route_difference result { earlier.version, { later.version, later.services, {}, later.idleTimeout }, {} };
    for (auto const& [address, route] : later.routes) {
        auto const known = earlier.routes.find(address);
        if (known == earlier.routes.end() || known->second != route)
            result.changes.routes.emplace(address, route);
    }
    for (auto const& [address, route] : earlier.routes) {
        if (!later.routes.contains(address))
            result.removed.push_back(address);
    }
    if (result.changes.routes.size() + result.removed.size() > later.routes.size() / 2 + 1)
        return std::nullopt;
    return result;
}

std::optional<route_table> applyRouteDifference(route_table const& table, route_difference const& difference)
{
    if (table.version != difference.fromVersion)
        return std::nullopt;
    auto result = difference.changes;
    for (auto const& [address, route] : table.routes)
        result.routes.try_emplace(address, route);
    for (auto const& address : difference.removed)
        result.routes.erase(address);
    return result;
}

} // namespace bilberryyard
