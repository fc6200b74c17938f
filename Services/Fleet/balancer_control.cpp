#include "balancer_control.h"

#include <Base/error_kind.h>
#include <Fleet/fleet_codec.h>
#include <algorithm>

namespace bilberryyard {

namespace {

    constexpr duration helloInterval = std::chrono::milliseconds(700);
    // Until the balancer is ready.
    constexpr duration startupHelloInterval = std::chrono::milliseconds(150);
    // A control host needs this long to send 300 KB to a few hundred balancers that started together.
    constexpr duration serverRequestInterval = std::chrono::milliseconds(300);
    // Three hello messages without a response.
    constexpr duration unresponsiveTimeout = std::chrono::milliseconds(2'200);
    constexpr duration hostExpiry = std::chrono::seconds(60);

} // namespace

balancer_control::balancer_control(
    fleet_settings const& settings, peer_channel& channel, token_router& router, monotonic_time now)
    : m_settings(settings)
    , m_channel(channel)
    , m_router(router)
    , m_hosts({ settings.address, settings.peerPort })
    , m_startedAt(now)
{
    setSeeds(settings.seeds);
}

void balancer_control::setSeeds(std::vector<ip_endpoint> const& seeds)
{
    m_settings.seeds = seeds;
    for (auto const& seed : seeds)
        m_links.try_emplace({ seed.address, m_settings.peerPort });
}

void balancer_control::receive(ip_endpoint const& sender, fleet_message const& message, monotonic_time now)
{
    std::visit([&](auto const& body) { handle(sender, body, now); }, message);
}

void balancer_control::handle(ip_endpoint const& sender, hello_response const& message, monotonic_time now)
{
    for (auto const& host : message.hosts) {
        if (host.role != host_role::Control)
            continue;
        auto seenHost = host;
        if (host.peer == sender)
            seenHost.age = {};
        m_hosts.updateHost(seenHost, now);
        m_links.try_emplace(host.peer);
    }
    auto& link = m_links[sender];
    if (link.lastSeenAt == monotonic_time() || link.isUnresponsive) {
        auto const* const host = m_hosts.find(sender);
        link.name = host ? host->host.name : sender.toText();
        m_logger.emit(events::hostHeard, "host=" + link.name + " peer=" + sender.toText());
    }
    link.isUnresponsive = false;
    link.lastSeenAt = now;
    link.isDirectoryRestored = message.isDirectoryRestored;
    // Two announcement intervals: each server announces itself in the first, and again in the second if that failed.
    link.completeAt = now - message.uptime + 2 * m_settings.announcementInterval;
    // A control host that has just started sends a hello response unrequested, before the next hello message is due.
    requestServers(sender, now);
}

void balancer_control::handle(ip_endpoint const& sender, directory_update const& message, monotonic_time now)
{
    auto& link = m_links[sender];
    link.lastSeenAt = now;
    link.hasAllServers = link.hasAllServers || message.scope == server_scope::All;
    auto const changes = m_view.apply(sender, message, now);
    for (auto const& [token, lastSeenAt] : changes.renewed)
        m_router.pool().renew(token, lastSeenAt);
    for (auto const& id : changes.changed) {
        updatePool(id, now);
        auto const& entry = *m_view.directory().find(id);
        auto const age = std::chrono::duration_cast<std::chrono::milliseconds>(now - entry.lastSeenAt);
        m_logger.emit(events::serverAnnounced,
            "server=" + id + " service=" + entry.announcement.service
                + " state=" + std::to_string(static_cast<int>(entry.announcement.state))
                + " sequence=" + std::to_string(entry.announcement.sequence) + " age_ms=" + std::to_string(age.count())
                + " from=" + link.name);
    }
}

void balancer_control::updatePool(std::string const& id, monotonic_time now)
{
    auto const* const entry = m_view.directory().find(id);
    if (!entry)
        return;
    m_router.pool().update(*entry, now);
    // When a later incarnation of a server announces itself at the same address, the directory sets the earlier one to
    // Gone.
    for (auto const& [otherId, other] : m_view.directory().entries()) {
        if (otherId != id && other.announcement.address == entry->announcement.address
            && other.announcement.state == backend_state::Gone)
            m_router.pool().update(other, now);
    }
}

void balancer_control::handle(ip_endpoint const& sender, route_table const& message, monotonic_time now)
{
    m_links[sender].lastSeenAt = now;
    auto const previousVersion = m_router.version();
    if (!m_router.setRoutes(std::make_shared<route_table const>(message)))
        return;
    m_logger.emit(events::configurationInForce,
        "version=" + std::to_string(message.version) + " before=" + std::to_string(previousVersion)
            + " routes=" + std::to_string(message.routes.size()) + " from=" + m_links[sender].name);
}

void balancer_control::sendHello(monotonic_time now)
{
    m_helloSentAt = now;
    m_hostListRotation.beginRound(m_links.size());
    for (auto const& [peer, link] : m_links) {
        auto const listRequest = m_hostListRotation.next();
        // Until it is ready, a balancer has to discover as many control hosts as possible.
        auto const hosts = isReady() ? listRequest : host_list::Requested;
        // Full directories are large, and all control hosts would send the same servers.
        bool const requestsAllServers = !m_hasDirectory && listRequest == host_list::Requested;
        sendHello(peer, hosts, requestsAllServers ? server_scope::All : server_scope::Own);
    }
}

void balancer_control::sendHello(ip_endpoint const& peer, host_list hosts, server_scope servers)
{
    fleet_host const self { { m_settings.address, m_settings.peerPort }, host_role::Balancer, m_settings.zone,
        m_settings.name, 0, {} };
    auto const knownPosition = m_view.positionOf(peer);
    m_channel.send(
        peer, hello_message { self, m_router.version(), knownPosition.epoch, knownPosition.revision, hosts, servers });
}

void balancer_control::requestServers(ip_endpoint const& peer, monotonic_time now)
{
    if (m_hasDirectory || m_links[peer].hasAllServers || now - m_serversRequestedAt < serverRequestInterval)
        return;
    m_serversRequestedAt = now;
    sendHello(peer, host_list::NotRequested, server_scope::All);
}

size_t balancer_control::reachableControlCount(monotonic_time now) const
{
    return static_cast<size_t>(std::count_if(m_links.begin(), m_links.end(), [&](auto const& item) {
        return item.second.lastSeenAt != monotonic_time() && now - item.second.lastSeenAt <= unresponsiveTimeout;
    }));
}

void balancer_control::expireLinks(monotonic_time now)
{
    for (auto& [peer, link] : m_links) {
        if (link.isUnresponsive || link.lastSeenAt == monotonic_time() || now - link.lastSeenAt <= unresponsiveTimeout)
            continue;
        link.isUnresponsive = true;
        m_logger.emit(events::hostSilent, "host=" + link.name + " peer=" + peer.toText());
    }
    std::erase_if(m_links, [&](auto const& item) {
        auto const& link = item.second;
        bool const isSeed = std::any_of(m_settings.seeds.begin(), m_settings.seeds.end(),
            [&](auto const& seed) { return seed.address == item.first.address; });
        auto const* const host = m_hosts.find(item.first);
        return !isSeed && now - link.lastSeenAt > hostExpiry && (!host || now - host->lastSeenAt > hostExpiry);
    });
}

void balancer_control::step(monotonic_time now)
{
    if (now < nextDeadline())
        return;
    sendHello(now);
    expireLinks(now);
    for (auto const& id : m_view.expire(now))
        m_router.pool().remove(id);
    updateReadiness(now);
}

void balancer_control::updateReadiness(monotonic_time now)
{
    bool isComplete = false;
    for (auto const& [peer, link] : m_links) {
        bool const isReachable = link.lastSeenAt != monotonic_time() && now - link.lastSeenAt <= unresponsiveTimeout;
        if (!isReachable || m_view.positionOf(peer).epoch == 0)
            continue;
        isComplete = isComplete || now >= link.completeAt;
        bool const isUsable = now >= link.completeAt || link.isDirectoryRestored;
        m_hasDirectory = m_hasDirectory || (isUsable && link.hasAllServers);
    }
    m_router.pool().setDirectoryHealth(isComplete ? directory_health::Current : directory_health::Stale);
}

monotonic_time balancer_control::nextDeadline() const
{
    return m_helloSentAt + (isReady() ? helloInterval : startupHelloInterval);
}

} // namespace bilberryyard
