#pragma once

#include <Routing/bucket_table.h>
#include <Routing/routing_view.h>
#include <algorithm>
#include <compare>
#include <cstdint>
#include <map>

namespace bilberryyard {

/// The changes that a table contains: for each planner incarnation the last version applied. Distinguishes a table
/// that only lags behind from one of another partition, which must be merged.
struct table_lineage {
    std::map<routed_peer, uint64_t> versions;
    auto operator<=>(table_lineage const&) const = default;

    /// @return Whether a table of this lineage contains every change of a table of the other lineage.
    bool covers(table_lineage const& other) const
    {
        return std::all_of(other.versions.begin(), other.versions.end(), [&](auto const& item) {
            auto const own = versions.find(item.first);
            return own != versions.end() && own->second >= item.second;
        });
    }

    /// @return The lineage of a table that contains the changes of both lineages.
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

/// A table with its lineage. Hosts send it to each other to synchronise.
struct replicated_table {
    bucket_table table;
    table_lineage lineage;
    bool operator==(replicated_table const&) const = default;
};

} // namespace bilberryyard
