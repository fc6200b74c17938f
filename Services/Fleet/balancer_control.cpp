#include "balancer_control.h"

#include <Base/error_kind.h>
#include <Fleet/fleet_codec.h>
#include <algorithm>

namespace bilberryyard {

namespace {

    constexpr duration greetInterval = std::chrono::milliseconds(700);
    // A balancer that cannot serve yet asks more often.
    constexpr duration startInterval = std::chrono::milliseconds(150);
    // Time in which a control host sends 300 KB to some hundred balancers that started together.
    constexpr duration serversInterval = std::chrono::milliseconds(300);
    // Three greetings without an answer.
    constexpr duration silenceLimit = std::chrono::milliseconds(2'200);
    constexpr duration hostLimit = std::chrono::seconds(60);

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
        auto heard = host;
        if (host.peer == sender)
            heard.age = {};
        m_hosts.learn(heard, now);
        m_links.try_emplace(host.peer);
    }
    auto& link = m_links[sender];
    if (link.lastSeenAt == monotonic_time() || link.isSilent) {
        auto const* const host = m_hosts.find(sender);
        link.name = host ? host->host.name : sender.toText();
        m_logger.emit(events::hostHeard, "host=" + link.name + " peer=" + sender.toText());
    }
    link.isSilent = false;
    link.lastSeenAt = now;
    link.isDirectoryRestored = message.isDirectoryRestored;
    // Every server announces itself once in this time, and a second time should the first call have failed.
    link.completeAt = now - message.uptime + 2 * m_settings.announcementInterval;
    // A control host that has just started speaks first.
    askForServers(sender, now);
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
        takeOver(id, now);
        auto const& entry = *m_view.directory().find(id);
        auto const age = std::chrono::duration_cast<std::chrono::milliseconds>(now - entry.lastSeenAt);
        m_logger.emit(events::serverAnnounced,
            "server=" + id + " service=" + entry.announcement.service
                + " state=" + std::to_string(static_cast<int>(entry.announcement.state))
                + " sequence=" + std::to_string(entry.announcement.sequence) + " age_ms=" + std::to_string(age.count())
                + " from=" + link.name);
    }
}

void balancer_control::takeOver(std::string const& id, monotonic_time now)
{
    auto const* const entry = m_view.directory().find(id);
    if (!entry)
        return;
    m_router.pool().update(*entry, now);
    // A later start at the same address ends the earlier one.
    for (auto const& [otherId, other] : m_view.directory().entries()) {
        if (otherId != id && other.announcement.address == entry->announcement.address
            && other.announcement.state == backend_state::Gone)
            m_router.pool().update(other, now);
    }
}

void balancer_control::handle(ip_endpoint const& sender, route_table const& message, monotonic_time now)
{
    m_links[sender].lastSeenAt = now;
    auto const held = m_router.version();
    if (!m_router.setRoutes(std::make_shared<route_table const>(message)))
        return;
    m_logger.emit(events::configurationInForce,
        "version=" + std::to_string(message.version) + " before=" + std::to_string(held)
            + " routes=" + std::to_string(message.routes.size()) + " from=" + m_links[sender].name);
}

void balancer_control::greet(monotonic_time now)
{
    m_greetedAt = now;
    m_listTurn.beginRound(m_links.size());
    for (auto const& [peer, link] : m_links) {
        auto const turn = m_listTurn.next();
        // A balancer that cannot serve yet needs every control host that it can find.
        auto const hosts = isReady() ? turn : host_list::Wanted;
        // Whole directories are large, and those of all control hosts say the same.
        bool const asksForAll = !m_hasDirectory && turn == host_list::Wanted;
        greet(peer, hosts, asksForAll ? server_scope::All : server_scope::Own);
    }
}

void balancer_control::greet(ip_endpoint const& peer, host_list hosts, server_scope servers)
{
    fleet_host const self { { m_settings.address, m_settings.peerPort }, host_role::Balancer, m_settings.zone,
        m_settings.name, 0, {} };
    auto const held = m_view.positionOf(peer);
    m_channel.send(peer, hello_message { self, m_router.version(), held.epoch, held.revision, hosts, servers });
}

void balancer_control::askForServers(ip_endpoint const& peer, monotonic_time now)
{
    if (m_hasDirectory || m_links[peer].hasAllServers || now - m_askedForServersAt < serversInterval)
        return;
    m_askedForServersAt = now;
    greet(peer, host_list::Unwanted, server_scope::All);
}

size_t balancer_control::freshControls(monotonic_time now) const
{
    return static_cast<size_t>(std::count_if(m_links.begin(), m_links.end(), [&](auto const& item) {
        return item.second.lastSeenAt != monotonic_time() && now - item.second.lastSeenAt <= silenceLimit;
    }));
}

void balancer_control::noteSilence(monotonic_time now)
{
    for (auto& [peer, link] : m_links) {
        if (link.isSilent || link.lastSeenAt == monotonic_time() || now - link.lastSeenAt <= silenceLimit)
            continue;
        link.isSilent = true;
        m_logger.emit(events::hostSilent, "host=" + link.name + " peer=" + peer.toText());
    }
    std::erase_if(m_links, [&](auto const& item) {
        auto const& link = item.second;
        bool const isSeed = std::any_of(m_settings.seeds.begin(), m_settings.seeds.end(),
            [&](auto const& seed) { return seed.address == item.first.address; });
        auto const* const host = m_hosts.find(item.first);
        return !isSeed && now - link.lastSeenAt > hostLimit && (!host || now - host->lastSeenAt > hostLimit);
    });
}

void balancer_control::step(monotonic_time now)
{
    if (now < nextDeadline())
        return;
    greet(now);
    noteSilence(now);
    for (auto const& id : m_view.expire(now))
        m_router.pool().remove(id);
    updateReadiness(now);
}

void balancer_control::updateReadiness(monotonic_time now)
{
    bool isComplete = false;
    for (auto const& [peer, link] : m_links) {
        bool const isHeard = link.lastSeenAt != monotonic_time() && now - link.lastSeenAt <= silenceLimit;
        if (!isHeard || m_view.positionOf(peer).epoch == 0)
            continue;
        isComplete = isComplete || now >= link.completeAt;
        bool const isUsable = now >= link.completeAt || link.isDirectoryRestored;
        m_hasDirectory = m_hasDirectory || (isUsable && link.hasAllServers);
    }
    m_router.pool().setDirectoryHealth(isComplete ? directory_health::Fresh : directory_health::Stale);
}

monotonic_time balancer_control::nextDeadline() const
{
    return m_greetedAt + (isReady() ? greetInterval : startInterval);
}

} // namespace bilberryyard
