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
    /// A host that has received no heartbeat of the planner for this long does not trust its table.
    duration lease = std::chrono::milliseconds { 1500 };
    /// A peer without a heartbeat for this long is considered failed. Longer than the lease, so that a host stops
    /// trusting its table before its peers stop waiting for it.
    duration failureTimeout = std::chrono::milliseconds { 2000 };
    auto operator<=>(peer_settings const&) const = default;
};

/// The versions up to which a host has applied the tables of a planner.
struct table_acknowledgement {
    /// The planner that assigned the versions; versions of different planners are not comparable.
    routed_peer planner;
    std::map<service_id, uint64_t> versions;
    auto operator<=>(table_acknowledgement const&) const = default;
};

/// The state of a planner's table, by which a host detects that it missed a change.
struct table_announcement {
    uint64_t version = 0;
    uint64_t digest = 0;
    auto operator<=>(table_announcement const&) const = default;
};

/// Whether a host stays in the deployment or is about to stop.
enum class host_intent : uint8_t {
    Staying,
    /// Graceful shutdown: the planner moves the host's witness roles to other hosts.
    Leaving,
};

/// Status that an entry host sends to its peers several times a second.
struct peer_heartbeat {
    routed_peer sender;
    zone_id zone;
    synchronisation state = synchronisation::Isolated;
    host_intent intent = host_intent::Staying;
    /// Peers from which the sender received a heartbeat within two thirds of the lease, in ascending order. Less than
    /// the lease, so that peers that lost the planner together with a host have reported this before its lease ends.
    std::vector<host_id> recentlySeenPeers;
    table_acknowledgement acknowledgement;
    /// The sender's tables while it is the planner; empty otherwise.
    std::map<service_id, table_announcement> tables;
    auto operator<=>(peer_heartbeat const&) const = default;
};

/// This host's view of the entry hosts of its deployment (docs/design.md sections 3.2 and 3.3).
///
/// A host loses synchronisation when its process was suspended, or when it no longer receives heartbeats of the planner
/// although a peer does. When no peer receives them either, the planner has failed or a partition separates it from
/// all of them: they keep their tables, and the next planner waits for each of them.
///
/// When no live host is synchronised (at the first start, or after all were suspended together), the host with the
/// lowest identifier that has listened for the failure timeout continues with the table it has.
class peer_view {
public:
    peer_view(routed_peer self, zone_id zone, peer_settings const& settings, monotonic_time now);

    /// Replaces the list of configured entry hosts. Heartbeats of other hosts are refused.
    /// @param hosts The entry hosts, this one included.
    void setConfiguredHosts(std::set<host_id> hosts);

    /// Handles a heartbeat.
    /// @param now When the heartbeat was read from its connection.
    /// @return NotFound for a host that is not configured, Conflict for an earlier incarnation of a peer,
    ///     InvalidArgument for a heartbeat that claims to come from this host.
    absl::Status receive(peer_heartbeat const& heartbeat, monotonic_time now);

    /// Must be called at least every 250 ms. A gap of the lease or more between two calls means that the process was
    /// suspended: peers may have stopped waiting for it, so its table is no longer valid.
    void advance(monotonic_time now);

    /// Records that this host has the planner's current tables.
    /// @param planner The sender of the tables.
    /// @param requestEpoch Value of epoch() when the tables were requested. A response to a request from before the
    ///     last loss of synchronisation is ignored, because it may have waited in a socket buffer.
    void tablesReceived(routed_peer planner, uint64_t requestEpoch, monotonic_time now);

    /// @return A counter that increases whenever this host loses synchronisation.
    uint64_t epoch() const { return m_epoch; }

    /// @param acknowledgement The table versions that this host has applied.
    /// @param tables The state of this host's tables if it is the planner, otherwise empty.
    /// @return The heartbeat to send to every configured peer.
    peer_heartbeat heartbeat(host_intent intent, table_acknowledgement acknowledgement,
        std::map<service_id, table_announcement> tables) const;

    /// @return Whether this host may trust its table.
    synchronisation state() const { return m_state; }

    /// @return The live synchronised host with the lowest identifier, if there is one.
    std::optional<routed_peer> planner() const;

    bool isPlanner() const { return planner() == m_self; }

    /// @return Live peers without this host, in ascending order.
    std::vector<routed_peer> livePeers() const;

    /// @return The last heartbeats of the live peers, in ascending order of host.
    std::vector<peer_heartbeat> liveHeartbeats() const;

    /// @return The last heartbeat of a live peer, otherwise nullptr.
    peer_heartbeat const* heartbeatOf(host_id host) const;

    /// @return The configured entry hosts, this one included.
    std::set<host_id> const& configuredHosts() const { return m_configured; }

    /// @return Whether every configured entry host is live.
    bool isEveryHostLive() const;

    /// @return Zones with a live entry host, this host's zone included.
    std::set<zone_id> reachableZones() const;

    /// @return Number of suspensions of this process that advance() detected.
    uint64_t suspensions() const { return m_suspensions; }

    routed_peer self() const { return m_self; }
    zone_id zone() const { return m_zone; }

private:
    struct peer {
        peer_heartbeat heartbeat;
        monotonic_time lastSeenAt;
    };

    bool isLive(peer const& value) const;
    bool wasSeenWithin(peer const& value, duration window) const { return m_now - value.lastSeenAt < window; }
    bool mayTrustTable() const;
    bool mayContinueWithoutPlanner() const;
    void updateState();
    void loseSynchronisation();

    routed_peer m_self;
    zone_id m_zone;
    peer_settings m_settings;
    monotonic_time m_now;
    monotonic_time m_listeningSince;
    std::set<host_id> m_configured;
    std::map<host_id, peer> m_peers;
    /// The planner at the last event. When it is unresponsive, the heartbeats of the peers show whether it reaches
    /// them.
    std::optional<host_id> m_followedPlanner;
    synchronisation m_state = synchronisation::Unsynchronised;
    uint64_t m_epoch = 1;
    uint64_t m_suspensions = 0;
};

} // namespace bilberryyard
