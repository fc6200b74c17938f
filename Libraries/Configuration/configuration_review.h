#pragma once

#include <Configuration/configuration.h>
#include <compare>
#include <string>
#include <vector>

namespace bilberryyard {

/// Something in a valid configuration that is probably not what its author meant.
struct configuration_warning {
    /// Path of the entry, for example "services[1].slots".
    std::string path;
    std::string message;
    auto operator<=>(configuration_warning const&) const = default;
};

/// Finds entries that never take effect, and limits that contradict each other.
/// @return The warnings in the order of the file format; empty if there are none.
std::vector<configuration_warning> reviewConfiguration(configuration const& value);

} // namespace bilberryyard
