#pragma once

#include <Membership/backend_announcement.h>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bilberryyard {

struct backend_directory_settings {
    /// An incarnation whose latest announcement is older than this is replaced by another incarnation with its
    /// identifier or address, even by one with an earlier start time, because wall clocks can step back. Spans several
    /// announcement intervals.
    duration announcementTimeout = std::chrono::milliseconds(4'000);
    /// Servers that have left or are unresponsive are removed after this time. Longer than any flow lives, so that
    /// packets of an old flow are still matched to its server.
    duration retention = std::chrono::seconds(120);
    auto operator<=>(backend_directory_settings const&) const = default;
};

enum class announcement_effect : uint8_t {
    /// Older than the stored announcement, or from an incarnation that has ended.
    Ignored,
    /// The announcement only confirms that the server is alive.
    Renewed,
    Changed,
    Added,
};

/// One server of a backend_directory.
struct backend_entry {
    backend_announcement announcement;
    /// When a control host last received an announcement of the server.
    monotonic_time lastSeenAt;
    /// When the server was first seen in a state other than Ready; only meaningful in such a state.
    monotonic_time leavingSince;
    /// Directory revision of the last change other than a renewal.
    uint64_t revision = 0;
};

/// The backend servers that announce themselves. Announcements may arrive late, repeatedly, out of order and after
/// the failure of their sender; the latest announcement of a server's latest incarnation takes precedence.
class backend_directory {
public:
    explicit backend_directory(backend_directory_settings const& settings = {});

    /// Applies an announcement.
    /// @param announcement State Gone means that the server has left.
    /// @param receivedAt When a control host received it.
    announcement_effect apply(backend_announcement const& announcement, monotonic_time receivedAt, monotonic_time now);

    /// Records that a known server is alive; has no effect for an unknown one.
    /// @param receivedAt When a control host received its announcement.
    void renew(std::string const& id, monotonic_time receivedAt);

    /// Removes servers that were last seen longer ago than the retention.
    /// @return The identifiers of the removed servers.
    std::vector<std::string> expire(monotonic_time now);

    std::map<std::string, backend_entry> const& entries() const { return m_entries; }
    /// @return The entry, or nullptr for an unknown server.
    backend_entry const* find(std::string const& id) const;
    /// @return Identifier of the server that currently uses the address, or nullptr.
    std::string const* ownerOf(ip_endpoint const& address) const;
    /// @return A counter that increases with each change other than a renewal.
    uint64_t revision() const { return m_revision; }
    /// @return A new revision, for a change of a server that its entry does not contain.
    uint64_t advanceRevision() { return ++m_revision; }

private:
    bool isOutdated(
        backend_entry const& known, backend_announcement const& announcement, monotonic_time receivedAt) const;
    bool claimAddress(backend_announcement const& announcement, monotonic_time receivedAt, monotonic_time now);
    announcement_effect applyLeave(
        backend_announcement const& announcement, monotonic_time receivedAt, monotonic_time now);
    void updateEntry(backend_entry& entry, backend_announcement const& announcement, monotonic_time now);

    backend_directory_settings m_settings;
    std::map<std::string, backend_entry> m_entries;
    /// Identifier of the server that currently uses each address.
    std::map<ip_endpoint, std::string> m_addressOwners;
    uint64_t m_revision = 0;
};

} // namespace bilberryyard
