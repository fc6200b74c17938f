#pragma once

#include <Fleet/fleet_message.h>
#include <deque>
#include <map>
#include <string>

namespace bilberryyard {

/// The latest versions of the routes, and the encoded messages that bring a balancer from one of them to the newest.
class route_history {
public:
    /// Adds a version that is later than all others.
    void add(route_table table);

    /// @return The encoded change from this version to the newest, or the whole newest table if there is none. Empty
    ///     before the first version.
    std::string const& encodedSince(uint64_t version);

    /// @return The version before the newest; 0 if there is none.
    uint64_t previousVersion() const;

private:
    /// Number of versions that are kept. A balancer that has missed more changes receives the whole table.
    static constexpr size_t maximumVersions = 8;

    std::deque<route_table> m_tables;
    std::map<uint64_t, std::string> m_encoded;
    std::string m_encodedTable;
};

} // namespace bilberryyard
