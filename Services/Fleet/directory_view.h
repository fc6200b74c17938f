#pragma once

#include <Fleet/fleet_message.h>
#include <Membership/backend_directory.h>
#include <map>
#include <unordered_map>
#include <vector>

namespace bilberryyard {

/// Backend servers as several control hosts report them, merged.
class directory_view {
public:
    /// Up to where the directory of a control host is known.
    struct position {
        /// The run of the control host; 0 before the first update.
        uint64_t epoch = 0;
        uint64_t revision = 0;
        auto operator<=>(position const&) const = default;
    };

    /// What an update changed.
    struct changes {
        /// Servers that are new or changed otherwise than by a renewal.
        std::vector<std::string> changed;
        /// Servers that were heard again, with the time of the call.
        std::vector<std::pair<uint32_t, monotonic_time>> renewed;
    };

    /// @param sender The control host.
    /// @param update Its update.
    /// @param now The time.
    /// @return What it changed.
    changes apply(ip_endpoint const& sender, directory_update const& update, monotonic_time now);

    /// Forgets servers that have been gone for long.
    /// @return Their identifiers.
    std::vector<std::string> expire(monotonic_time now);

    position positionOf(ip_endpoint const& sender) const;
    backend_directory const& directory() const { return m_directory; }

private:
    backend_directory m_directory;
    std::map<ip_endpoint, position> m_positions;
    std::unordered_map<uint32_t, std::string> m_idsByToken;
};

} // namespace bilberryyard
