#pragma once

#include <Fleet/fleet_message.h>
#include <Membership/backend_directory.h>
#include <mutex>
#include <optional>
#include <set>

namespace bilberryyard {

/// The backend servers that announce themselves at this control host, and what balancers have to hear of them.
/// Announcements come from other threads.
class directory_feed {
public:
    /// @param settings Of the directory.
    /// @param epoch Differs between runs of the process.
    directory_feed(backend_directory_settings const& settings, uint64_t epoch);

    /// Takes an announcement. Called from any thread.
    /// @param announcement What a server said.
    /// @param now The time.
    /// @return What it changed; anything but a renewal should reach balancers at once.
    announcement_effect announce(backend_announcement const& announcement, monotonic_time now);

    /// @return Whether drainChanges() has changes other than renewals.
    bool hasChanges() const;

    /// @param now The time.
    /// @return What changed since the last call; nothing when nothing did.
    std::optional<directory_update> drainChanges(monotonic_time now);

    /// @param epoch What the balancer holds: the run.
    /// @param revision Up to where.
    /// @param now The time.
    /// @return What it lacks of what was sent before; nothing when it lacks nothing.
    std::optional<directory_update> missing(uint64_t epoch, uint64_t revision, monotonic_time now) const;

    /// @param now The time.
    /// @return All servers of this control host.
    directory_update everything(monotonic_time now) const;
    /// @return Rises with each change other than a renewal.
    uint64_t revision() const;

    /// Forgets servers that have been gone for long.
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
