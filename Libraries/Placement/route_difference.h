#pragma once

#include <Placement/route_table.h>
#include <optional>
#include <vector>

namespace bilberryyard {

/// The change from one version of the routes to a later one. A configuration has thousands of routes, of which a change
/// concerns a few.
struct route_difference {
    /// Version of the table that it applies to.
    uint64_t fromVersion = 0;
    /// The later version with its services, and only the routes that were added or changed.
    route_table changes;
    std::vector<ip_endpoint> removed;
    auto operator<=>(route_difference const&) const = default;
};

/// @return The change from `earlier` to `later`; nullopt if the whole later table is the better choice, because its
///     services differ, so that the indices in unchanged routes are not valid, or because most routes have changed.
std::optional<route_difference> makeRouteDifference(route_table const& earlier, route_table const& later);

/// @return The later table; nullopt if the difference does not apply to this version.
std::optional<route_table> applyRouteDifference(route_table const& table, route_difference const& difference);

} // namespace bilberryyard
