#pragma once

#include <Membership/server_record.h>
#include <Routing/routing_view.h>
#include <absl/status/statusor.h>
#include <chrono>
#include <map>
#include <set>
#include <vector>

namespace bilberryyard {

/// Settings of a server directory.
struct directory_settings {
    /// A server that has not announced itself for this long is expired.
    duration lease = std::chrono::seconds { 3 };
    /// A server that has been silent for this long is dead: its flows are reset.
    duration deadAfter = std::chrono::seconds { 6 };
    /// An expired server is forgotten after this time. Longer than the flow idle timeout, because bucket
    /// tables and flow entries may name the server until then.
    duration retention = std::chrono::hours { 1 };
    auto operator<=>(directory_settings const&) const = default;
};

/// A server as this host knows it.
struct directory_entry {
    server_id id;
    server_announcement announcement;
    report_stamp stamp;
    /// When this host last learned of a newer announcement, by its own clock.
    monotonic_time renewedAt;
    /// When this host first saw the present incarnation serving; the start of a cold start.
    monotonic_time servingSince;
    /// Value of the directory's change counter at the last change of this entry.
    uint64_t changedAt = 0;
    auto operator<=>(directory_entry const&) const = default;
};

/// Which records recordsSince() returns.
enum class record_scope : uint8_t {
    /// Announcements that this host received itself; enough for heartbeats while all peers hear each other.
    ReceivedHere,
    /// Everything known, for a peer that joins or returns.
    All,
};

/// The backend servers of a deployment with their leases. Hosts exchange records and converge whatever
/// the order, repetition and delay of the messages: per server the record with the highest stamp wins,
/// and the owner of a number and the number of a server are each the smallest that was ever proposed.
///
/// A server gets its number from the entry host that first receives its announcement: 12 bits host,
/// 8 bits of the host's incarnation and 12 bits counter, so that hosts number without coordination and a
/// restarted host does not reuse numbers. When two hosts number one server at the same time, the lower
/// number becomes the server's and the higher one stays valid as an alias, because flow entries may name it.
class server_directory {
public:
    /// @param self This host with its incarnation; the host number must be below 4,095.
    /// @param settings Lease and retention.
    /// @return The directory, or InvalidArgument.
    static absl::StatusOr<server_directory> create(routed_peer self, directory_settings const& settings);

    /// Takes an announcement that a server sent to this host.
    /// @param announcement The announcement.
    /// @param now The time.
    /// @return The server's number. InvalidArgument for a bad field, Conflict for an announcement of an
    ///     earlier incarnation, ResourceExhausted when this host has no numbers left.
    absl::StatusOr<server_id> announce(server_announcement const& announcement, monotonic_time now);

    /// Merges a record of a peer. Old and repeated records have no effect and do not renew the lease.
    /// @param record The record.
    /// @param now The time it arrived.
    /// @return InvalidArgument for a record that no directory produces.
    absl::Status merge(server_record const& record, monotonic_time now);

    /// Forgets servers whose retention has ended.
    /// @param now The time.
    void expire(monotonic_time now);

    /// @param after Only entries changed after this value of changeCounter(); 0 for all.
    /// @param scope Which entries.
    /// @param now The time, for the age of the leases.
    /// @return Records for peers, in ascending order of number.
    std::vector<server_record> recordsSince(uint64_t after, record_scope scope, monotonic_time now) const;

    /// @return A counter that increases with every change of an entry; local to this host.
    uint64_t changeCounter() const { return m_changeCounter; }

    /// @param id A number or an alias.
    /// @return The entry, or nullptr for an unknown number.
    directory_entry const* find(server_id id) const;

    /// @param key A server.
    /// @return The entry, or nullptr for an unknown server.
    directory_entry const* find(server_key const& key) const;

    /// @param id A number or an alias.
    /// @return The server's own number; noServer for an unknown number.
    server_id canonical(server_id id) const;

    /// @return The server behind each number, aliases included.
    std::map<server_id, server_key> const& owners() const { return m_owners; }

    /// @return All entries, expired ones included, in ascending order of key.
    std::vector<directory_entry> entries() const;

    /// @param entry An entry.
    /// @param now The time.
    /// @return Whether its lease holds.
    bool isLeased(directory_entry const& entry, monotonic_time now) const;

    /// Derives what routers may do with a server. An expired server counts as dead only when an entry host
    /// of its zone is reachable; otherwise the zone may be partitioned from this host, and the server keeps
    /// its flows (docs/design.md section 3.3).
    /// @param entry An entry.
    /// @param reachableZones Zones with a live entry host; all zones when the view is full.
    /// @param now The time.
    /// @return The condition, before any ejection on evidence.
    server_condition conditionOf(
        directory_entry const& entry, std::set<zone_id> const& reachableZones, monotonic_time now) const;

    /// @return Numbers that two servers were given at once and that one of them lost.
    uint64_t numberCollisions() const { return m_numberCollisions; }

private:
    server_directory(routed_peer self, directory_settings const& settings);

    void addAliases(std::vector<server_record>& records, uint64_t after, monotonic_time now) const;
    absl::StatusOr<server_id> allocate();
    void claim(server_id id, server_key const& key);
    void renumber(server_key const& key);
    void store(server_announcement const& announcement, report_stamp const& stamp, monotonic_time renewedAt,
        monotonic_time servingSince);

    routed_peer m_self;
    directory_settings m_settings;
    std::map<server_key, directory_entry> m_entries;
    /// Owner of each number; a server may own several, of which the lowest is its own.
    std::map<server_id, server_key> m_owners;
    uint64_t m_changeCounter = 0;
    uint64_t m_numberCollisions = 0;
    uint32_t m_nextNumber = 0;
};

} // namespace bilberryyard
