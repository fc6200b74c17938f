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
    /// The lease of a server expires when it has not announced itself for this long.
    duration lease = std::chrono::seconds { 3 };
    /// A server without an announcement for this long is considered dead, and its flows are reset.
    duration deadTimeout = std::chrono::seconds { 6 };
    /// A server without an announcement for this long is removed. Longer than the flow idle timeout, because bucket
    /// tables and flow entries may refer to the server until then.
    duration retention = std::chrono::hours { 1 };
    auto operator<=>(directory_settings const&) const = default;
};

/// What this host knows about a server.
struct directory_entry {
    server_id id;
    server_announcement announcement;
    report_stamp stamp;
    /// When the server last announced itself, by this host's clock.
    monotonic_time renewedAt;
    /// When the current incarnation started serving, by this host's clock; its cold start begins at that time.
    monotonic_time servingSince;
    /// Value of the directory's change counter at the last change of this entry.
    uint64_t changedAt = 0;
    auto operator<=>(directory_entry const&) const = default;
};

/// Which records recordsSince() returns.
enum class record_scope : uint8_t {
    /// Announcements that this host received itself; sufficient while all peers receive each other's records.
    ReceivedHere,
    /// All entries, for a peer that joins or returns.
    All,
};

/// The backend servers of a deployment with their leases. Hosts exchange records and converge whatever the order,
/// repetition and delay of the messages: for each server the record with the highest stamp wins, and the owner of an
/// identifier and the identifier of a server are each the smallest that was ever proposed.
///
/// The entry host that first receives a server's announcement assigns its identifier: 12 bits host, 8 bits of the
/// host's incarnation and 12 bits counter. Hosts thus assign identifiers without coordination, and a restarted host
/// does not reuse them. When two hosts assign identifiers to one server at the same time, the lower one becomes the
/// server's identifier and the higher one stays valid as an alias, because flow entries may refer to it.
class server_directory {
public:
    /// @param self This host with its incarnation; the host identifier must be below 4,095.
    /// @return InvalidArgument for a host identifier out of range, or a lease that is not positive or exceeds the
    ///     retention.
    static absl::StatusOr<server_directory> create(routed_peer self, directory_settings const& settings);

    /// Applies an announcement that a server sent to this host.
    /// @return The server's identifier; InvalidArgument for an invalid field, Conflict for an announcement of an
    ///     earlier incarnation, ResourceExhausted when this host has no identifiers left.
    absl::StatusOr<server_id> announce(server_announcement const& announcement, monotonic_time now);

    /// Merges a record of a peer. Old and repeated records do not renew the lease.
    /// @param now When the record arrived.
    /// @return InvalidArgument for a record that no directory produces.
    absl::Status merge(server_record const& record, monotonic_time now);

    /// Removes servers whose retention has ended.
    void expire(monotonic_time now);

    /// @param after Only entries changed after this value of changeCounter(); 0 for all.
    /// @param now Reference for the ages in the records.
    /// @return Records for peers, in ascending order of identifier.
    std::vector<server_record> recordsSince(uint64_t after, record_scope scope, monotonic_time now) const;

    /// @return A counter, local to this host, that increases with every change of an entry.
    uint64_t changeCounter() const { return m_changeCounter; }

    /// @param id An identifier or an alias.
    /// @return The entry, or nullptr for an unknown identifier.
    directory_entry const* find(server_id id) const;

    /// @return The entry, or nullptr for an unknown server.
    directory_entry const* find(server_key const& key) const;

    /// @param id An identifier or an alias.
    /// @return The server's own identifier; noServer for an unknown one.
    server_id canonical(server_id id) const;

    /// @return The owner of each identifier, aliases included.
    std::map<server_id, server_key> const& owners() const { return m_owners; }

    /// @return All entries in ascending order of key, including those whose lease has expired.
    std::vector<directory_entry> entries() const;

    /// @return Whether the lease of an entry is valid.
    bool isLeased(directory_entry const& entry, monotonic_time now) const;

    /// Derives how routers may use a server. A server past the dead timeout counts as dead only when an entry host of
    /// its zone is reachable; otherwise the zone may be partitioned from this host, and the server keeps its flows
    /// (docs/design.md section 3.3).
    /// @param reachableZones Zones with a live entry host; all zones when every entry host is live.
    /// @return The condition, without regard to ejections.
    server_condition conditionOf(
        directory_entry const& entry, std::set<zone_id> const& reachableZones, monotonic_time now) const;

    /// @return How often an identifier turned out to be assigned to two servers, so that one of them lost it.
    uint64_t identifierCollisions() const { return m_identifierCollisions; }

private:
    server_directory(routed_peer self, directory_settings const& settings);

    void addAliases(std::vector<server_record>& records, uint64_t after, monotonic_time now) const;
    absl::StatusOr<server_id> allocateIdentifier();
    void claimIdentifier(server_id id, server_key const& key);
    void updateOwnIdentifier(server_key const& key);
    void store(server_announcement const& announcement, report_stamp const& stamp, monotonic_time renewedAt,
        monotonic_time servingSince);

    routed_peer m_self;
    directory_settings m_settings;
    std::map<server_key, directory_entry> m_entries;
    /// Owner of each identifier. The lowest identifier that a server owns is its own, the others are aliases.
    std::map<server_id, server_key> m_owners;
    uint64_t m_changeCounter = 0;
    uint64_t m_identifierCollisions = 0;
    uint32_t m_nextCounter = 0;
};

} // namespace bilberryyard
