#pragma once

#include <Configuration/configuration.h>
#include <compare>
#include <string>
#include <vector>

namespace bilberryyard {

enum class difference_kind {
    Added,
    Removed,
    Changed,
};

/// One change between two configurations.
struct difference_entry {
    difference_kind kind = difference_kind::Changed;
    /// Path of the changed entry, for example "services.orders.port" or "exceptions.service/orders.slots".
    std::string path;
    /// The old value; empty for Added.
    std::string before;
    /// The new value; empty for Removed.
    std::string after;
    auto operator<=>(difference_entry const&) const = default;

    /// @return "~ services.orders.port: 80 -> 8080", "+ zones.north: id 3" or "- zones.north: id 3".
    std::string toText() const;
};

/// The changes between two configurations, in the order of the file format. Zones and services are matched by
/// identifier, or by name when either has no identifier; exceptions are matched by target and key.
class configuration_difference {
public:
    configuration_difference() = default;

    configuration_difference(configuration const& before, configuration const& after);

    std::vector<difference_entry> const& entries() const { return m_entries; }
    bool isEmpty() const { return m_entries.empty(); }

    /// @return One line for each change, as written by difference_entry::toText().
    std::vector<std::string> lines() const;

    auto operator<=>(configuration_difference const&) const = default;

private:
    std::vector<difference_entry> m_entries;
};

} // namespace bilberryyard
