#pragma once

#include <Routing/bucket_table.h>
#include <Routing/routing_view.h>
#include <algorithm>
#include <compare>
#include <cstdint>
#include <map>

namespace bilberryyard {

/// Which planners' changes a table contains: for each planner process the last version applied. Tells a
/// table that only lags from one of another partition, which must be merged.
struct table_lineage {
    std::map<routed_peer, uint64_t> versions;
    auto operator<=>(table_lineage const&) const = default;

    /// @param other The lineage of another table.
    /// @return Whether this table contains every change of the other.
    bool covers(table_lineage const& other) const
    {
        return std::all_of(other.versions.begin(), other.versions.end(), [&](auto const& item) {
            auto const own = versions.find(item.first);
            return own != versions.end() && own->second >= item.second;
        });
    }

    /// @param other The lineage of another table.
    /// @return The lineage of a table that contains the changes of both.
    table_lineage joinedWith(table_lineage const& other) const
    {
        table_lineage result = *this;
        for (auto const& [planner, version] : other.versions) {
            auto& own = result.versions[planner];
            own = std::max(own, version);
        }
        return result;
    }
};

/// A table with its lineage, as hosts send it to each other when they synchronise.
struct replicated_table {
    bucket_table table;
    table_lineage lineage;
    bool operator==(replicated_table const&) const = default;
};

} // namespace bilberryyard
