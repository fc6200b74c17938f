#pragma once

#include <Base/monotonic_time.h>
#include <Routing/routing_view.h>
#include <absl/status/status.h>
#include <chrono>
#include <compare>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bilberryyard {

/// Settings of a peer view.
struct peer_settings {
    /// A host that has not heard the planner for this long does not trust its table.
    duration lease = std::chrono::milliseconds { 1500 };
    /// A peer that has been silent for this long has failed. Longer than the lease, so that a host has
    /// stopped trusting its table before anyone stops waiting for it.
    duration failure = std::chrono::milliseconds { 2000 };
    auto operator<=>(peer_settings const&) const = default;
};

/// Up to which version a host has applied the tables of a planner.
struct table_acknowledgement {
    /// The planner whose versions these are; versions of two planners are not comparable.
    routed_peer planner;
    std::map<service_id, uint64_t> versions;
    auto operator<=>(table_acknowledgement const&) const = default;
};

/// The state of a planner's table, so that a host notices that it missed a change.
struct table_announcement {
    uint64_t version = 0;
    uint64_t digest = 0;
    auto operator<=>(table_announcement const&) const = default;
};

/// Whether a host takes part or is about to stop.
enum class host_intent : uint8_t {
    Staying,
    /// Graceful shutdown: the planner takes its witness roles away.
    Leaving,
};

/// What an entry host tells its peers about itself, several times a second.
struct peer_heartbeat {
    routed_peer sender;
    zone_id zone;
    synchronisation state = synchronisation::Isolated;
    host_intent intent = host_intent::Staying;
    /// Peers that the sender has heard within two thirds of the lease, in ascending order. Less than the
    /// lease, so that peers that lost the planner together with a host have said so when its lease ends.
    std::vector<host_id> hears;
    table_acknowledgement acknowledgement;
    /// The sender's tables while it is the planner; empty otherwise.
    std::map<service_id, table_announcement> tables;
    auto operator<=>(peer_heartbeat const&) const = default;
};

/// This host's view of the entry hosts of its deployment (docs/design.md sections 3.2 and 3.3).
///
/// A host loses synchronisation when its process was suspended, or when it no longer hears the planner
/// although a peer does. When no peer hears the planner either, the planner has failed or the partition
/// separates it from all of them: they keep their tables, and the next planner waits for each of them.
///
/// When no live host is synchronised (first start, or all were suspended together), the lowest host that
/// has listened for the failure time continues with the table it has.
class peer_view {
public:
    /// @param self This host with its incarnation.
    /// @param zone Its zone.
    /// @param settings Lease and failure times.
    /// @param now The time.
    peer_view(routed_peer self, zone_id zone, peer_settings const& settings, monotonic_time now);

    /// Replaces the list of entry hosts that the configuration names. Heartbeats of other hosts are refused.
    /// @param hosts The entry hosts, this one included.
    void setConfiguredHosts(std::set<host_id> hosts);

    /// Takes a heartbeat.
    /// @param heartbeat The heartbeat.
    /// @param now When it was read.
    /// @return NotFound for a host that is not configured, Conflict for an earlier incarnation of a peer,
    ///     InvalidArgument for a heartbeat that claims to come from this host.
    absl::Status receive(peer_heartbeat const& heartbeat, monotonic_time now);

    /// Must be called at least every 250 ms. A gap of the lease or more between two calls means that the
    /// process was suspended: peers may have stopped waiting for it, so its table is void.
    /// @param now The time.
    void advance(monotonic_time now);

    /// Reports that this host now holds the planner's current tables.
    /// @param planner Where the tables came from.
    /// @param requestEpoch Value of epoch() when the tables were requested. A response to a request from
    ///     before the last loss of synchronisation is ignored: it may have waited in a socket buffer.
    /// @param now The time.
    void tablesReceived(routed_peer planner, uint64_t requestEpoch, monotonic_time now);

    /// @return A number that changes whenever this host loses synchronisation.
    uint64_t epoch() const { return m_epoch; }

    /// @param intent What this host says about itself in its heartbeats.
    /// @param acknowledgement The tables it has applied.
    /// @param tables Its tables when it is the planner.
    /// @return The heartbeat to send to every configured peer.
    peer_heartbeat heartbeat(host_intent intent, table_acknowledgement acknowledgement,
        std::map<service_id, table_announcement> tables) const;

    /// @return Whether this host may trust its table.
    synchronisation state() const { return m_state; }

    /// @return The live synchronised host with the lowest number; nothing when there is none.
    std::optional<routed_peer> planner() const;

    /// @return Whether this host is the planner.
    bool isPlanner() const { return planner() == m_self; }

    /// @return Live peers without this host, in ascending order.
    std::vector<routed_peer> livePeers() const;

    /// @return The last heartbeats of the live peers, in ascending order of host.
    std::vector<peer_heartbeat> liveHeartbeats() const;

    /// @param host A peer.
    /// @return Its last heartbeat while it is live, otherwise nullptr.
    peer_heartbeat const* heartbeatOf(host_id host) const;

    /// @return The entry hosts that the configuration lists.
    std::set<host_id> const& configuredHosts() const { return m_configured; }

    /// @return Whether every configured entry host is live.
    bool isFull() const;

    /// @return Zones with a live entry host, this host's zone included.
    std::set<zone_id> reachableZones() const;

    /// @return How often this process was found to have been suspended.
    uint64_t suspensions() const { return m_suspensions; }

    routed_peer self() const { return m_self; }
    zone_id zone() const { return m_zone; }

private:
    struct peer {
        peer_heartbeat heartbeat;
        monotonic_time lastSeenAt;
    };

    bool isLive(peer const& value) const;
    bool heardWithin(peer const& value, duration limit) const { return m_now - value.lastSeenAt < limit; }
    bool mayTrustTable() const;
    bool isFirstToStart() const;
    void updateState();
    void loseSynchronisation();

    routed_peer m_self;
    zone_id m_zone;
    peer_settings m_settings;
    monotonic_time m_now;
    monotonic_time m_startedAt;
    std::set<host_id> m_configured;
    std::map<host_id, peer> m_peers;
    /// The planner at the last event; while it is silent, peers are asked whether they hear it.
    std::optional<host_id> m_followed;
    synchronisation m_state = synchronisation::Unsynchronised;
    uint64_t m_epoch = 1;
    uint64_t m_suspensions = 0;
};

} // namespace bilberryyard
