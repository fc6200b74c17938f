#pragma once

#include <Membership/backend_announcement.h>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bilberryyard {

struct backend_directory_settings {
    /// A start whose latest announcement is older gives way to another start under its identifier or at its address,
    /// also when that one claims an earlier time of start: clocks of hosts step. Several announcement intervals.
    duration announcementTimeout = std::chrono::milliseconds(4'000);
    /// Servers that are gone or silent are forgotten after this time. Longer than any flow lives, so that packets of
    /// an old flow still find where it was.
    duration retention = std::chrono::seconds(120);
    auto operator<=>(backend_directory_settings const&) const = default;
};

enum class announcement_effect : uint8_t {
    /// Older than what is known, or from a start that has ended.
    Ignored,
    /// The server was heard again and nothing else changed.
    Renewed,
    Changed,
    Added,
};

/// One server of a backend_directory.
struct backend_entry {
    backend_announcement announcement;
    /// When a control host last heard the server.
    monotonic_time lastSeenAt;
    /// When the server was first seen leaving; only meaningful when it is not Ready.
    monotonic_time leavingSince;
    /// Directory revision of the last change other than a renewal.
    uint64_t revision = 0;
};

/// The backend servers that announce themselves. Announcements arrive late, twice, out of order and after the death
/// of their sender; the latest start of a server and its latest announcement count.
class backend_directory {
public:
    explicit backend_directory(backend_directory_settings const& settings = {});

    /// Takes an announcement.
    /// @param announcement What a server said; Gone when it has left.
    /// @param lastSeenAt When a control host heard it.
    /// @param now The time.
    /// @return What it changed.
    announcement_effect apply(backend_announcement const& announcement, monotonic_time lastSeenAt, monotonic_time now);

    /// Notes that a known server was heard again.
    /// @param id The server.
    /// @param lastSeenAt When a control host heard it.
    void renew(std::string const& id, monotonic_time lastSeenAt);

    /// Forgets servers that have been gone or silent for long.
    /// @param now The time.
    /// @return The identifiers that were forgotten.
    std::vector<std::string> expire(monotonic_time now);

    std::map<std::string, backend_entry> const& entries() const { return m_entries; }
    /// @param id A server.
    /// @return Its entry, or null.
    backend_entry const* find(std::string const& id) const;
    /// @return Rises with each change other than a renewal.
    uint64_t revision() const { return m_revision; }

private:
    bool isOutdated(
        backend_entry const& known, backend_announcement const& announcement, monotonic_time lastSeenAt) const;
    bool takeAddress(backend_announcement const& announcement, monotonic_time lastSeenAt, monotonic_time now);
    announcement_effect leave(backend_announcement const& announcement, monotonic_time lastSeenAt, monotonic_time now);
    void change(backend_entry& entry, backend_announcement const& announcement, monotonic_time now);

    backend_directory_settings m_settings;
    std::map<std::string, backend_entry> m_entries;
    /// The start that holds an address now.
    std::map<ip_endpoint, std::string> m_holders;
    uint64_t m_revision = 0;
};

} // namespace bilberryyard
