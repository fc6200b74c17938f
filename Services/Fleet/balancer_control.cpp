#include "balancer_control.h"

#include <Base/error_kind.h>
#include <Base/hashing.h>
#include <Fleet/fleet_codec.h>
#include <algorithm>
#include <sstream>

namespace bilberryyard {

namespace {

    constexpr duration helloInterval = std::chrono::milliseconds(700);
    // Until a control host has responded.
    constexpr duration startupHelloInterval = std::chrono::milliseconds(150);
    // From then on until the balancer is ready. Hundreds of balancers may start together.
    constexpr duration unreadyHelloInterval = std::chrono::milliseconds(300);
    // Several control hosts may report the same newer version of the routes.
    constexpr duration routeRequestInterval = std::chrono::milliseconds(100);
    // Several control hosts may report the same newer revision of the evacuated zones.
    constexpr duration evacuationRequestInterval = std::chrono::milliseconds(100);
    // A control host needs this long to send 300 KB to a few hundred balancers that started together.
    constexpr duration serverRequestInterval = std::chrono::milliseconds(300);
    // Three hello messages without a response.
    constexpr duration unresponsiveTimeout = std::chrono::milliseconds(2'200);
    constexpr duration hostExpiry = std::chrono::seconds(60);
    // Limits the length of a log line when many servers stop together.
    constexpr size_t maximumListedServers = 16;
    // Expiry visits all servers; those that have left are kept for minutes.
    // Bounds the traffic of control hosts; a server that fails all its requests is known after about one more second.
    constexpr duration failureReportInterval = std::chrono::milliseconds(1'000);
    constexpr size_t failureReportCopies = 2;
    constexpr duration expiryInterval = std::chrono::seconds(5);

} // namespace

balancer_control::balancer_control(
    fleet_settings const& settings, peer_channel& channel, token_router& router, monotonic_time now)
    : m_settings(settings)
    , m_channel(channel)
    , m_router(router)
    , m_hosts({ settings.address, settings.peerPort })
    , m_directory(settings.zone,
          [this](ip_endpoint const& receiver, fleet_message const& message) { m_channel.send(receiver, message); })
    , m_fetch({ server_scope::All, settings.zone, 0, 0, {}, known_records::Included })
    , m_startedAt(now)
{
    m_directory.setRecovery(directory_subscription::recovery::Disabled);
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
    if (auto const* const host = m_hosts.find(sender))
        link.protocol = host->host.protocol;
    link.isDirectoryRestored = message.isDirectoryRestored;
    // Two announcement intervals: each server announces itself in the first, and again in the second if that failed.
    link.completeAt = now - message.uptime + 2 * m_settings.announcementInterval;
    // A control host that has just started sends a hello response unrequested, before the next hello message is due.
    requestServers(sender, now);
    // A control host without a configuration has not read the log yet, so it does not know the evacuations either.
    if (message.configurationVersion > 0)
        link.evacuationRevision = message.evacuationRevision;
    updateEvacuationKnowledge(now);
    if (message.evacuationRevision > m_router.pool().evacuations().revision)
        requestEvacuations(sender, now);
    if (message.configurationVersion > m_router.version())
        requestRoutes(sender, now);
    requestPage(now);
}

void balancer_control::handle(ip_endpoint const& sender, directory_update const& message, monotonic_time now)
{
    auto& link = m_links[sender];
    link.lastSeenAt = now;
    link.hasAllServers = link.hasAllServers || message.scope == server_scope::All;
    auto const changes = m_directory.apply(sender, message, now);
    applyChanges(sender, changes, server_lines::Logged, now);
    if (!message.late.empty())
        logLateServers(sender, changes, now);
}

void balancer_control::handle(ip_endpoint const& sender, directory_page const& message, monotonic_time now)
{
    auto& link = m_links[sender];
    link.lastSeenAt = now;
    applyChanges(sender, m_directory.apply(sender, message, now), server_lines::Omitted, now);
    m_logger.emit(events::directoryPageReceived,
        "records=" + std::to_string(message.records.size()) + " scope="
            + (message.scope == server_scope::All ? "all" : "own") + " last=" + (message.isLast ? "yes" : "no")
            + " servers=" + std::to_string(m_router.pool().size()) + " from=" + link.name);
    if (message.scope != server_scope::All || !m_fetch.accept(message))
        return;
    if (!m_fetch.isComplete())
        return requestPage(now);
    m_directory.setForwardedPositions(m_fetch.positions());
    link.hasAllServers = true;
}

void balancer_control::handle(ip_endpoint const& sender, age_response const& message, monotonic_time now)
{
    for (auto const& server : message.servers) {
        auto const reporter = m_directory.view().isAnnouncer(sender, server.token) ? announcement_reporter::Announcer
                                                                                   : announcement_reporter::OtherHost;
        m_router.pool().recordAnnouncement(server.token, now - server.age, reporter, now);
    }
}

void balancer_control::handle(ip_endpoint const& sender, evacuated_zones const& message, monotonic_time now)
{
    auto& link = m_links[sender];
    link.lastSeenAt = now;
    link.evacuationRevision = message.revision;
    if (m_router.pool().setEvacuatedZones(message, now))
        m_logger.emit(events::evacuationInForce, toText(message) + " from=" + link.name);
    updateEvacuationKnowledge(now);
}

void balancer_control::updateEvacuationKnowledge(monotonic_time now)
{
    if (m_knowsEvacuations)
        return;
    bool hasReport = false;
    bool isBehind = false;
    for (auto const& [peer, link] : m_links) {
        if (!link.evacuationRevision || !isReachable(link, now))
            continue;
        hasReport = true;
        isBehind = isBehind || *link.evacuationRevision > m_router.pool().evacuations().revision;
    }
    m_knowsEvacuations = hasReport && !isBehind;
}

void balancer_control::requestEvacuations(ip_endpoint const& peer, monotonic_time now)
{
    if (now - m_evacuationsRequestedAt < evacuationRequestInterval)
        return;
    m_evacuationsRequestedAt = now;
    sendHello(peer, host_list::NotRequested, server_scope::Own, route_request::NotRequested);
}

void balancer_control::handle(ip_endpoint const& sender, warm_up_grants const& message, monotonic_time now)
{
    m_links[sender].lastSeenAt = now;
    auto const askedAt = m_router.pool().warmUp().receive(message, now);
    if (!askedAt)
        return;
    for (auto const& server : message.servers)
        m_router.pool().setWarmUpEnd(server.token, now + server.remaining, *askedAt);
}

void balancer_control::handle(ip_endpoint const& sender, failure_sums const& message, monotonic_time now)
{
    m_links[sender].lastSeenAt = now;
    m_router.pool().evidence().setSums(sender, message, now);
}

void balancer_control::applyChanges(
    ip_endpoint const& sender, directory_view::changes const& changes, server_lines lines, monotonic_time now)
{
    for (auto const& id : changes.changed) {
        auto const* const entry = m_directory.view().directory().find(id);
        if (!entry)
            continue;
        m_router.pool().update(*entry, now);
        if (lines == server_lines::Omitted)
            continue;
        auto const age = std::chrono::duration_cast<std::chrono::milliseconds>(now - entry->lastSeenAt);
        m_logger.emit(events::serverAnnounced,
            "server=" + id + " service=" + entry->announcement.service
                + " state=" + std::to_string(static_cast<int>(entry->state()))
                + " sequence=" + std::to_string(entry->announcement.sequence) + " age_ms=" + std::to_string(age.count())
                + " from=" + m_links[sender].name);
    }
    for (auto const& [token, liveness] : changes.renewed)
        m_router.pool().setLiveness(token, liveness);
    applyDisplacements(changes, now);
}

void balancer_control::applyDisplacements(directory_view::changes const& changes, monotonic_time now)
{
    auto const& directory = m_directory.view().directory();
    size_t lineCount = 0;
    for (auto const& id : changes.displaced) {
        auto const* const entry = directory.find(id);
        if (!entry)
            continue;
        m_router.pool().setDisplacement(id, entry->displacedBy, now);
        if (lineCount++ < maximumListedServers)
            m_logger.emit(events::serverDisplaced,
                "server=" + id + " address=" + entry->announcement.address.toText()
                    + " started=" + std::to_string(entry->announcement.startedAtMs)
                    + " displaced_by=" + (entry->displacedBy.empty() ? "-" : entry->displacedBy));
    }
}

void balancer_control::logLateServers(
    ip_endpoint const& sender, directory_view::changes const& changes, monotonic_time now)
{
    size_t lateCount = 0;
    std::string late;
    for (auto const& [token, liveness] : changes.renewed) {
        auto const* const id = m_directory.view().findId(token);
        if (liveness.lease || !id)
            continue;
        auto const age = std::chrono::duration_cast<std::chrono::milliseconds>(now - liveness.lastSeenAt);
        if (lateCount++ < maximumListedServers)
            late += (late.empty() ? "" : ",") + *id + ":" + std::to_string(age.count());
    }
    if (lateCount > 0)
        m_logger.emit(events::serversLate,
            "count=" + std::to_string(lateCount) + " late_ms=" + late + " from=" + m_links[sender].name);
}

void balancer_control::setRoutes(ip_endpoint const& sender, route_table table, monotonic_time now)
{
    // Without routes no flow is placed. Those that are dropped here are requested with the next hello response.
    if (!m_knowsEvacuations)
        return requestEvacuations(sender, now);
    auto const previousVersion = m_router.version();
    auto const version = table.version;
    auto const count = table.routes.size();
    if (!m_router.setRoutes(std::make_shared<route_table const>(std::move(table))))
        return;
    std::set<std::string> services;
    for (auto const& service : m_router.routes()->services)
        services.insert(service.name);
    applyChanges(sender, m_directory.view().setServices(std::move(services), now), server_lines::Logged, now);
    m_logger.emit(events::configurationInForce,
        "version=" + std::to_string(version) + " before=" + std::to_string(previousVersion)
            + " routes=" + std::to_string(count) + " from=" + m_links[sender].name);
}

void balancer_control::handle(ip_endpoint const& sender, route_table const& message, monotonic_time now)
{
    m_links[sender].lastSeenAt = now;
    setRoutes(sender, message, now);
}

void balancer_control::handle(ip_endpoint const& sender, route_difference const& message, monotonic_time now)
{
    m_links[sender].lastSeenAt = now;
    if (message.changes.version <= m_router.version())
        return;
    auto table = m_router.routes() ? applyRouteDifference(*m_router.routes(), message) : std::nullopt;
    if (table)
        setRoutes(sender, *std::move(table), now);
    else
        requestRoutes(sender, now);
}

void balancer_control::requestRoutes(ip_endpoint const& peer, monotonic_time now)
{
    if (m_links[peer].protocol != directory_protocol::Leases || now - m_routesRequestedAt < routeRequestInterval)
        return;
    m_routesRequestedAt = now;
    sendHello(peer, host_list::NotRequested, server_scope::Own, route_request::Requested);
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
        sendHello(peer, hosts, requestsAllServers ? server_scope::All : server_scope::Own, route_request::NotRequested);
    }
}

void balancer_control::sendHello(ip_endpoint const& peer, host_list hosts, server_scope servers, route_request routes)
{
    fleet_host const self { { m_settings.address, m_settings.peerPort }, host_role::Balancer, m_settings.zone,
        m_settings.name, 0, {} };
    auto const knownPosition = m_directory.view().positionOf(peer);
    m_channel.send(peer,
        hello_message { self, m_router.version(), knownPosition.epoch, knownPosition.revision, hosts, servers, routes,
            m_router.pool().evacuations().revision });
}

void balancer_control::requestServers(ip_endpoint const& peer, monotonic_time now)
{
    auto const& link = m_links[peer];
    if (m_hasDirectory || link.hasAllServers || link.protocol != directory_protocol::Renewals
        || now - m_serversRequestedAt < serverRequestInterval)
        return;
    m_serversRequestedAt = now;
    sendHello(peer, host_list::NotRequested, server_scope::All, route_request::NotRequested);
}

ip_endpoint const* balancer_control::choosePageSource(monotonic_time now) const
{
    struct candidate {
        bool isUnusable;
        bool isRemote;
        uint64_t hash;
        ip_endpoint const* peer;
        auto operator<=>(candidate const&) const = default;
    };
    std::vector<candidate> candidates;
    for (auto const& [peer, link] : m_links) {
        if (link.protocol != directory_protocol::Leases || !isReachable(link, now))
            continue;
        auto const* const host = m_hosts.find(peer);
        bool const isRemote = !host || host->host.zone != m_settings.zone;
        // Balancers that start together spread over the control hosts by their addresses.
        auto const hash = hashPair(m_settings.address.toIpv4(), peer.address.toIpv4());
        candidates.push_back({ !isUsable(link, now), isRemote, hash, &peer });
    }
    if (candidates.empty())
        return nullptr;
    std::sort(candidates.begin(), candidates.end());
    return candidates[static_cast<size_t>(m_fetch.requestsSincePage()) % candidates.size()].peer;
}

bool balancer_control::isReachable(control_link const& link, monotonic_time now) const
{
    return link.lastSeenAt != monotonic_time() && now - link.lastSeenAt <= unresponsiveTimeout;
}

bool balancer_control::isUsable(control_link const& link, monotonic_time now)
{
    return now >= link.completeAt || link.isDirectoryRestored;
}

void balancer_control::requestPage(monotonic_time now)
{
    if (m_hasDirectory || (!m_fetch.isComplete() && !m_fetch.isDue(now)))
        return;
    auto const* const source = choosePageSource(now);
    if (!source)
        return;
    if (m_fetch.isComplete()) {
        // The servers came from a control host that had just started, or that is down by now.
        auto const& link = m_links.at(*source);
        if (link.hasAllServers || !isUsable(link, now))
            return;
        m_fetch = directory_fetch({ server_scope::All, m_settings.zone, 0, 0, {}, known_records::Included });
    }
    m_channel.send(*source, m_fetch.nextRequest(now));
}

void balancer_control::sendAgeRequests(monotonic_time now)
{
    auto tokens = m_router.pool().drainSuspects();
    if (tokens.empty())
        return;
    age_request const request { std::move(tokens) };
    for (auto const& [peer, link] : m_links) {
        if (link.protocol == directory_protocol::Leases && now - link.lastSeenAt <= unresponsiveTimeout)
            m_channel.send(peer, request);
    }
}

void balancer_control::sendWarmUpRequests(monotonic_time now)
{
    auto& warmUp = m_router.pool().warmUp();
    if (!warmUp.hasLimits() || !warmUp.isRequestDue(now))
        return;
    std::map<ip_endpoint, std::vector<warm_up_demand>> demands;
    for (auto const& demand : warmUp.makeDemands(m_router.pool().limitedServers(now), now)) {
        if (auto const* const announcer = m_directory.view().announcerOf(demand.token))
            demands[*announcer].push_back(demand);
    }
    for (auto& [peer, servers] : demands)
        m_channel.send(peer, warmUp.makeRequest(std::move(servers), now));
}

void balancer_control::reportFailures(monotonic_time now)
{
    logTrustChanges();
    if (now - m_failuresReportedAt < failureReportInterval)
        return;
    m_failuresReportedAt = now;
    auto const report = m_router.pool().evidence().drainReport(now);
    if (report.servers.empty())
        return;
    std::vector<std::pair<uint64_t, ip_endpoint>> receivers;
    for (auto const& [peer, link] : m_links) {
        if (isReachable(link, now))
            receivers.emplace_back(hashPair(0, peer.address.toIpv4()), peer);
    }
    std::sort(receivers.begin(), receivers.end());
    if (receivers.size() > failureReportCopies)
        receivers.resize(failureReportCopies);
    for (auto const& [hash, peer] : receivers)
        m_channel.send(peer, report);
}

void balancer_control::logTrustChanges()
{
    for (auto const& change : m_router.pool().evidence().drainChanges()) {
        auto const* const backend = m_router.pool().find(change.score.token);
        std::ostringstream line;
        line << "server=" << (backend ? backend->entry.announcement.id : std::to_string(change.score.token))
             << " service=" << (backend ? backend->entry.announcement.service : "-")
             << " whole=" << change.score.counts.whole << " conspicuous=" << change.score.counts.conspicuous
             << " others_share=" << change.score.othersShare << " score=" << change.score.score
             << " threshold=" << change.threshold
             << " from=" << (change.from == trust_change::source::Own ? "own" : "shared")
             << " untrusted=" << change.untrusted << " ready=" << change.ready;
        m_logger.emit(
            change.to == trust_change::direction::Lost ? events::serverTrustLost : events::serverTrustRegained,
            line.str());
    }
}

size_t balancer_control::reachableControlCount(monotonic_time now) const
{
    return static_cast<size_t>(
        std::count_if(m_links.begin(), m_links.end(), [&](auto const& item) { return isReachable(item.second, now); }));
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
    sendAgeRequests(now);
    sendWarmUpRequests(now);
    reportFailures(now);
    m_directory.step(now);
    requestPage(now);
    if (now < m_helloSentAt + helloPeriod(now))
        return;
    sendHello(now);
    expireLinks(now);
    applyChanges({}, m_directory.view().reevaluate(now), server_lines::Omitted, now);
    if (now - m_expiredAt >= expiryInterval) {
        m_expiredAt = now;
        for (auto const& id : m_directory.view().expire(now))
            m_router.pool().remove(id);
    }
    updateReadiness(now);
}

void balancer_control::updateReadiness(monotonic_time now)
{
    bool isComplete = false;
    for (auto const& [peer, link] : m_links) {
        if (!isReachable(link, now) || m_directory.view().positionOf(peer).epoch == 0)
            continue;
        isComplete = isComplete || now >= link.completeAt;
        m_hasDirectory = m_hasDirectory || (isUsable(link, now) && link.hasAllServers);
    }
    if (m_hasDirectory || m_fetch.isComplete())
        m_directory.setRecovery(directory_subscription::recovery::Enabled);
    m_router.pool().setDirectoryCoverage(m_hasDirectory ? directory_coverage::Complete : directory_coverage::Partial);
    m_router.pool().setDirectoryHealth(isComplete ? directory_health::Current : directory_health::Stale);
}

duration balancer_control::helloPeriod(monotonic_time now) const
{
    if (isReady())
        return helloInterval;
    return reachableControlCount(now) > 0 ? unreadyHelloInterval : startupHelloInterval;
}

monotonic_time balancer_control::nextDeadline(monotonic_time now) const
{
    auto deadline = std::min(m_helloSentAt + helloPeriod(now), m_directory.nextDeadline());
    if (!m_hasDirectory && !m_fetch.isComplete() && m_fetch.requestsSincePage() > 0)
        deadline = std::min(deadline, m_fetch.nextRequestAt());
    if (m_router.pool().warmUp().hasLimits())
        deadline = std::min(deadline, m_router.pool().warmUp().nextRequestAt());
    return deadline;
}

} // namespace bilberryyard
