#pragma once

#include <Membership/backend_announcement.h>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bilberryyard {

struct backend_directory_settings {
    /// An incarnation whose latest announcement is older than this is superseded by another incarnation with its
    /// identifier or address, even by one with an earlier start time, because wall clocks can step back. Spans several
    /// announcement intervals.
    duration announcementTimeout = std::chrono::milliseconds(4'000);
    /// Servers that have left or are unresponsive are removed after this time. Longer than any flow lives, so that
    /// packets of an old flow are still matched to its server.
    duration retention = std::chrono::seconds(120);
    /// Announcements of one warm-up state the same end, apart from delays of up to this time. A later end means that
    /// another warm-up has begun.
    duration warmUpTolerance = std::chrono::seconds(1);
    auto operator<=>(backend_directory_settings const&) const = default;
};

enum class announcement_effect : uint8_t {
    /// Older than the stored announcement, or from an incarnation that has ended.
    Ignored,
    /// No configuration names its service, and it would move a server of a configured service to another address. It
    /// may be applied again when the configuration or the liveness of that server has changed.
    Deferred,
    /// The announcement only confirms that the server is alive.
    Renewed,
    Changed,
    Added,
};

/// One server of a backend_directory.
struct backend_entry {
    /// What the server itself has announced last.
    backend_announcement announcement;
    /// When a control host last received an announcement of the server.
    monotonic_time lastSeenAt;
    /// When the server was first seen in a state other than Ready; only meaningful in such a state.
    monotonic_time leavingSince;
    /// Directory revision of the last change other than a renewal.
    uint64_t revision = 0;
    /// Identifier of the server that has taken over the address; empty if there is none.
    std::string displacedBy {};
    /// Start times of earlier incarnations that a later announcement has replaced, the latest last.
    std::vector<int64_t> endedStarts {};
    /// When the announced warm-up ends.
    monotonic_time warmUpEndsAt {};
    /// When the present incarnation was first seen; only meaningful if it has replaced another one.
    monotonic_time incarnationSeenAt {};

    /// @return The announced state; Gone if another server has taken over the address.
    backend_state state() const { return displacedBy.empty() ? announcement.state : backend_state::Gone; }
};

/// The backend servers that announce themselves. Announcements may arrive late, repeatedly, out of order and after
/// the failure of their sender; the latest announcement of a server's latest incarnation takes precedence.
///
/// Several servers may announce one address, one after another or by mistake. Which of them has it is derived from
/// their entries and the services of the configuration, and never stored in place of an announcement. So it does not
/// depend on the order in which announcements arrive, and a server that was displaced in error returns.
class backend_directory {
public:
    explicit backend_directory(backend_directory_settings const& settings = {});

    /// Applies an announcement.
    /// @param announcement State Gone means that the server has left.
    /// @param receivedAt When a control host received it.
    announcement_effect apply(backend_announcement const& announcement, monotonic_time receivedAt, monotonic_time now);

    /// Records when a server was last seen, which may be earlier than assumed before. Ignores unknown servers.
    /// @param receivedAt When a control host received its announcement.
    void setLastSeen(std::string const& id, monotonic_time receivedAt);

    /// Replaces the services that the configuration names. Before the first call no server displaces another one.
    void setServices(std::set<std::string> services);

    /// @return Whether the configuration names the service of the announcement.
    bool isConfigured(backend_announcement const& announcement) const;

    /// Derives again who has the addresses that several servers announce, as this depends on when they were last seen.
    void reevaluateAddresses();
    /// The same for one address.
    void reevaluate(ip_endpoint const& address);

    /// @return Identifiers of servers that were displaced, or returned, since the last call.
    std::vector<std::string> drainDisplacementChanges() { return std::exchange(m_displacementChanges, {}); }

    /// Removes servers that were last seen longer ago than the retention.
    /// @return The identifiers of the removed servers.
    std::vector<std::string> expire(monotonic_time now);

    std::map<std::string, backend_entry> const& entries() const { return m_entries; }
    /// @return The entry, or nullptr for an unknown server.
    backend_entry const* find(std::string const& id) const;
    /// @return Addresses that several servers announce.
    std::set<ip_endpoint> const& contestedAddresses() const { return m_contestedAddresses; }
    /// @return Identifiers of the servers that announced the address last, in the order of their first announcements.
    std::vector<std::string> const& claimantsOf(ip_endpoint const& address) const;
    /// @return A counter that increases with each change other than a renewal.
    uint64_t revision() const { return m_revision; }
    /// @return A new revision, for a change of a server that its entry does not contain.
    uint64_t advanceRevision() { return ++m_revision; }

private:
    bool hasTimedOut(backend_entry const& known, monotonic_time receivedAt) const
    {
        return receivedAt - known.lastSeenAt >= m_settings.announcementTimeout;
    }
    /// @return Whether another incarnation has replaced this one, and was seen for longer than late announcements of a
    ///     still earlier one arrive.
    bool isReplaced(backend_entry const& known, int64_t startedAtMs) const;
    bool isOutdated(
        backend_entry const& known, backend_announcement const& announcement, monotonic_time receivedAt) const;
    /// @return Whether the announcement would move a live server of a configured service to another address, although
    ///     no configuration names its own service.
    bool mustDefer(
        backend_entry const& known, backend_announcement const& announcement, monotonic_time receivedAt) const;
    /// @return Whether `candidate` has taken over the address that both servers announce.
    bool supersedes(backend_entry const& candidate, backend_entry const& other) const;
    /// @return Whether the leave is that of another incarnation than the known one, which may still be alive.
    bool isOutdatedLeave(
        backend_entry const& known, backend_announcement const& announcement, monotonic_time receivedAt) const;
    announcement_effect applyLeave(
        backend_announcement const& announcement, monotonic_time receivedAt, monotonic_time now);
    void updateEntry(
        backend_entry& entry, backend_announcement const& announcement, monotonic_time receivedAt, monotonic_time now);
    void addClaim(backend_announcement const& announcement);
    void removeClaim(backend_announcement const& announcement);

    backend_directory_settings m_settings;
    std::map<std::string, backend_entry> m_entries;
    /// Identifiers of the servers that announce each address, including those that have left.
    std::map<ip_endpoint, std::vector<std::string>> m_claimants;
    std::set<ip_endpoint> m_contestedAddresses;
    /// Services that the configuration names; nullopt before the first configuration.
    std::optional<std::set<std::string>> m_services;
    std::vector<std::string> m_displacementChanges;
    uint64_t m_revision = 0;
};

} // namespace bilberryyard
