#pragma once

#include <Fleet/fleet_message.h>
#include <Membership/backend_directory.h>
#include <mutex>
#include <optional>
#include <set>
#include <unordered_map>

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

    /// Replaces the services that the configuration names. Called from any thread.
    void setServices(std::set<std::string> services);

    /// Reports servers as late whose announcements are overdue. If this process has been suspended or delayed, its view
    /// of all servers is old, and none is reported until they have had time to announce themselves again.
    /// @param threshold Time since the last announcement after which a server is late.
    void markLate(duration threshold, monotonic_time now);

    /// Records that peers have the server's record from another control host, so that only its token has to be sent
    /// when it announces itself here.
    /// @param warmUpEndsAt End of the warm-up that peers know.
    void recordElsewhere(backend_announcement const& announcement, monotonic_time warmUpEndsAt = {});

    /// Undoes recordElsewhere().
    void forgetElsewhere(std::string const& id);

    /// Records that another control host has received an announcement of the server, so that its late announcements no
    /// longer matter here. Ignores unknown servers.
    void release(std::string const& id);

    /// Sends the liveness of a server again, if another control host reports it as late that announces itself here.
    /// @param lastSeenAt When that control host last received an announcement of it.
    void contradictLate(std::string const& id, monotonic_time lastSeenAt);

    /// @return Whether drainChanges() has changes.
    bool hasChanges() const;

    /// @return The changes since the last call, with a lease; nullopt if there are none.
    std::optional<directory_update> drainChanges(monotonic_time now);

    /// @return Flow tokens of all servers that have announced themselves since the last call, for hosts that know no
    ///     leases.
    std::vector<uint32_t> drainRenewals();

    /// @return A lease without changes.
    directory_update lease() const;

    /// @param epoch Epoch of the directory that the receiver has stored.
    /// @param revision Revision of the directory that the receiver has stored.
    /// @param known Whether an update with all servers contains the records that peers have.
    /// @return The changes that the receiver lacks; nullopt if it has everything that drainChanges() returned.
    std::optional<directory_update> updateSince(
        uint64_t epoch, uint64_t revision, monotonic_time now, known_records known = known_records::Included) const;

    /// @return An update with all servers of this control host.
    directory_update fullUpdate(monotonic_time now) const;

    /// @return All servers for a directory page, ordered by identifier, and the position that they correspond to. Those
    ///     that were released have the flag isLate, since another control host knows more about them.
    std::pair<std::vector<page_record>, uint64_t> records(monotonic_time now) const;

    /// @return The times since the last announcements of those of the servers that announce themselves here. Empty for
    ///     a while after a start or a suspension, as for markLate().
    std::vector<server_age> agesOf(std::vector<uint32_t> const& tokens, monotonic_time now) const;

    uint64_t epoch() const { return m_epoch; }
    /// @return A number that increases with each change of a record.
    uint64_t recordChanges() const;

    /// Removes expired entries.
    void expire(monotonic_time now);

private:
    struct server_state {
        /// Revision of the latest change of the liveness.
        uint64_t livenessRevision = 0;
        /// Revision of a record that peers already have; 0 for none.
        uint64_t knownElsewhereRevision = 0;
        bool isLate = false;
        bool isReleased = false;
    };

    bool isKnownElsewhere(backend_announcement const& announcement, monotonic_time now) const;
    /// @return Whether the announcement would move a server of a configured service, which announces itself to another
    ///     control host, to another address, although no configuration names its own service.
    bool contradictsElsewhere(backend_announcement const& announcement) const;
    directory_update changesAfter(uint64_t revision, monotonic_time now) const;

    mutable std::mutex m_mutex;
    backend_directory m_directory;
    uint64_t m_epoch;
    uint64_t m_sentRevision = 0;
    uint64_t m_recordChanges = 0;
    std::set<uint32_t> m_renewed;
    std::unordered_map<std::string, server_state> m_states;
    std::unordered_map<uint32_t, std::string> m_idsByToken;
    struct elsewhere_record {
        backend_announcement announcement;
        monotonic_time warmUpEndsAt;
    };
    std::unordered_map<std::string, elsewhere_record> m_elsewhere;
    monotonic_time m_lateCheckedAt;
    monotonic_time m_lateCheckResumesAt;
};

} // namespace bilberryyard
