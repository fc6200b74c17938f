#pragma once

#include <compare>
#include <cstdint>
#include <set>
#include <string>

namespace bilberryyard {

/// The availability zones that operators have evacuated: their servers get no new flows.
struct evacuated_zones {
    /// Number of orders that changed the zones; 0 before the first. The highest revision is in force.
    uint64_t revision = 0;
    std::set<std::string> zones;
    auto operator<=>(evacuated_zones const&) const = default;
};

/// @return The revision and the zones as fields of a log line.
std::string toText(evacuated_zones const& evacuations);

} // namespace bilberryyard
