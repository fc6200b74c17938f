#include <Membership/peer_view.h>

#include <Base/error_kind.h>
#include <algorithm>
#include <string>

namespace bilberryyard {

peer_view::peer_view(routed_peer self, zone_id zone, peer_settings const& settings, monotonic_time now)
    : m_self(self)
    , m_zone(zone)
    , m_settings(settings)
    , m_now(now)
    , m_listeningSince(now)
    , m_configured { self.host }
{
}

void peer_view::setConfiguredHosts(std::set<host_id> hosts)
{
    m_configured = std::move(hosts);
    m_configured.insert(m_self.host);
    std::erase_if(m_peers, [&](auto const& item) { return !m_configured.contains(item.first); });
    updateState();
}

absl::Status peer_view::receive(peer_heartbeat const& heartbeat, monotonic_time now)
{
    advance(now);
    auto const host = heartbeat.sender.host;
    if (host == m_self.host)
        return makeError(error_kind::InvalidArgument,
            "heartbeat from another process with this host's identifier " + std::to_string(host.value));
    if (!m_configured.contains(host))
        return makeError(
            error_kind::NotFound, "heartbeat of host " + std::to_string(host.value) + ", which is not configured");
    auto const known = m_peers.find(host);
    if (known != m_peers.end() && known->second.heartbeat.sender.incarnation > heartbeat.sender.incarnation)
        return makeError(
            error_kind::Conflict, "heartbeat of an earlier incarnation of host " + std::to_string(host.value));
    m_peers[host] = { heartbeat, m_now };
    updateState();
    return absl::OkStatus();
}

void peer_view::advance(monotonic_time now)
{
    auto const gap = now - m_now;
    m_now = std::max(m_now, now);
    if (gap >= m_settings.lease) {
        ++m_suspensions;
        // The gap was this process's suspension, not a failure of the peers: timeouts restart now.
        m_listeningSince = m_now;
        loseSynchronisation();
    }
    updateState();
}

void peer_view::tablesReceived(routed_peer planner, uint64_t requestEpoch, monotonic_time now)
{
    advance(now);
    auto const sender = m_peers.find(planner.host);
    bool const isKnown = sender != m_peers.end() && sender->second.heartbeat.sender == planner;
    if (requestEpoch != m_epoch || !isKnown || !wasSeenWithin(sender->second, m_settings.lease))
        return;
    m_followedPlanner = planner.host;
    m_state = synchronisation::Synchronised;
    updateState();
}

peer_heartbeat peer_view::heartbeat(
    host_intent intent, table_acknowledgement acknowledgement, std::map<service_id, table_announcement> tables) const
{
    peer_heartbeat result { m_self, m_zone, m_state, intent, {}, std::move(acknowledgement), std::move(tables) };
    for (auto const& [host, value] : m_peers) {
        if (wasSeenWithin(value, m_settings.lease * 2 / 3))
            result.recentlySeenPeers.push_back(host);
    }
    return result;
}

std::optional<routed_peer> peer_view::planner() const
{
    std::optional<routed_peer> lowest;
    if (m_state != synchronisation::Unsynchronised)
        lowest = m_self;
    for (auto const& [host, value] : m_peers) {
        if (!isLive(value) || value.heartbeat.state != synchronisation::Synchronised)
            continue;
        if (!lowest || host < lowest->host)
            lowest = value.heartbeat.sender;
    }
    return lowest;
}

std::vector<routed_peer> peer_view::livePeers() const
{
    std::vector<routed_peer> result;
    for (auto const& [host, value] : m_peers) {
        if (isLive(value))
            result.push_back(value.heartbeat.sender);
    }
    return result;
}

std::vector<peer_heartbeat> peer_view::liveHeartbeats() const
{
    std::vector<peer_heartbeat> result;
    for (auto const& [host, value] : m_peers) {
        if (isLive(value))
            result.push_back(value.heartbeat);
    }
    return result;
}

peer_heartbeat const* peer_view::heartbeatOf(host_id host) const
{
    auto const entry = m_peers.find(host);
    return entry != m_peers.end() && isLive(entry->second) ? &entry->second.heartbeat : nullptr;
}

bool peer_view::isEveryHostLive() const { return livePeers().size() + 1 == m_configured.size(); }

std::set<zone_id> peer_view::reachableZones() const
{
    std::set<zone_id> zones { m_zone };
    for (auto const& [host, value] : m_peers) {
        if (isLive(value))
            zones.insert(value.heartbeat.zone);
    }
    return zones;
}

bool peer_view::isLive(peer const& value) const { return m_now - value.lastSeenAt < m_settings.failureTimeout; }

bool peer_view::mayTrustTable() const
{
    if (!m_followedPlanner || *m_followedPlanner == m_self.host)
        return true;
    auto const followed = m_peers.find(*m_followedPlanner);
    if (followed != m_peers.end() && wasSeenWithin(followed->second, m_settings.lease))
        return true;
    return std::none_of(m_peers.begin(), m_peers.end(), [&](auto const& item) {
        auto const& recentlySeenPeers = item.second.heartbeat.recentlySeenPeers;
        // Only recent heartbeats count, because the last heartbeat of a peer that failed together with the planner
        // still lists the planner.
        return wasSeenWithin(item.second, m_settings.lease / 3)
            && std::find(recentlySeenPeers.begin(), recentlySeenPeers.end(), *m_followedPlanner)
            != recentlySeenPeers.end();
    });
}

bool peer_view::mayContinueWithoutPlanner() const
{
    if (m_now - m_listeningSince < m_settings.failureTimeout)
        return false;
    return std::none_of(m_peers.begin(), m_peers.end(), [&](auto const& item) {
        bool const knowsTables = item.second.heartbeat.state != synchronisation::Unsynchronised;
        return isLive(item.second) && (knowsTables || item.first < m_self.host);
    });
}

void peer_view::updateState()
{
    bool const hasNoLivePeer = livePeers().empty();
    if (hasNoLivePeer && m_now - m_listeningSince >= m_settings.failureTimeout) {
        m_state = synchronisation::Isolated;
        m_followedPlanner = m_self.host;
        return;
    }
    // The partition has ended. This host keeps its own table until it has merged the planner's.
    if (m_state == synchronisation::Isolated && !hasNoLivePeer)
        m_state = synchronisation::Synchronised;
    if (m_state == synchronisation::Unsynchronised && mayContinueWithoutPlanner())
        m_state = synchronisation::Synchronised;
    if (m_state != synchronisation::Synchronised)
        return;
    if (!mayTrustTable()) {
        loseSynchronisation();
        return;
    }
    if (auto const current = planner())
        m_followedPlanner = current->host;
}

void peer_view::loseSynchronisation()
{
    if (m_state == synchronisation::Unsynchronised)
        return;
    m_state = synchronisation::Unsynchronised;
    m_followedPlanner.reset();
    ++m_epoch;
}

} // namespace bilberryyard
