#pragma once

#include <Fleet/fleet_message.h>
#include <Membership/backend_directory.h>
#include <map>
#include <unordered_map>
#include <vector>

namespace bilberryyard {

/// Merged directory of the backend servers that several control hosts report.
class directory_view {
public:
    /// The latest state of a control host's directory that was received.
    struct position {
        /// Incarnation of the control host; 0 before the first update.
        uint64_t epoch = 0;
        uint64_t revision = 0;
        auto operator<=>(position const&) const = default;
    };

    /// What an update changed.
    struct changes {
        /// Identifiers of servers that were added or changed by more than a renewal.
        std::vector<std::string> changed;
        /// Flow tokens of servers whose announcements were renewed, and when they were last seen.
        std::vector<std::pair<uint32_t, monotonic_time>> renewed;
    };

    /// Merges an update from the control host `sender`.
    changes apply(ip_endpoint const& sender, directory_update const& update, monotonic_time now);

    /// Removes expired entries.
    /// @return The identifiers of the removed servers.
    std::vector<std::string> expire(monotonic_time now);

    position positionOf(ip_endpoint const& sender) const;
    backend_directory const& directory() const { return m_directory; }

private:
    backend_directory m_directory;
    std::map<ip_endpoint, position> m_positions;
    std::unordered_map<uint32_t, std::string> m_idsByToken;
};

} // namespace bilberryyard
