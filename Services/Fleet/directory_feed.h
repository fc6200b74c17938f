#pragma once

#include <Fleet/fleet_message.h>
#include <Membership/backend_directory.h>
#include <mutex>
#include <optional>
#include <set>

namespace bilberryyard {

/// The backend servers that announce themselves to this control host, and the updates to send to balancers. Safe to use
/// from several threads.
class directory_feed {
public:
    /// @param epoch Identifies the incarnation of this process; differs after each restart.
    directory_feed(backend_directory_settings const& settings, uint64_t epoch);

    /// Applies an announcement. Called from any thread.
    /// @return Its effect; anything but a renewal should be sent to balancers at once.
    announcement_effect announce(backend_announcement const& announcement, monotonic_time now);

    /// @return Whether drainChanges() has changes other than renewals.
    bool hasChanges() const;

    /// @return The changes and renewals since the last call; nullopt if there are none.
    std::optional<directory_update> drainChanges(monotonic_time now);

    /// @param epoch Epoch of the directory that the receiver has stored.
    /// @param revision Revision of the directory that the receiver has stored.
    /// @return The changes that the receiver lacks; nullopt if it has everything that drainChanges() returned.
    std::optional<directory_update> updateSince(uint64_t epoch, uint64_t revision, monotonic_time now) const;

    /// @return An update with all servers of this control host.
    directory_update fullUpdate(monotonic_time now) const;
    /// @return A number that increases with each change other than a renewal.
    uint64_t revision() const;

    /// Removes expired entries.
    void expire(monotonic_time now);

private:
    std::vector<aged_announcement> recordsAfter(uint64_t revision, monotonic_time now) const;

    mutable std::mutex m_mutex;
    backend_directory m_directory;
    uint64_t m_epoch;
    uint64_t m_sentRevision = 0;
    std::set<uint32_t> m_renewed;
};

} // namespace bilberryyard
