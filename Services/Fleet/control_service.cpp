#include "control_service.h"

#include <Base/boot_clock.h>
#include <Base/error_kind.h>
#include <Fleet/fleet_codec.h>
#include <algorithm>
#include <array>
#include <future>
#include <poll.h>
#include <random>
#include <thread>

namespace bilberryyard {

namespace {

    // Clients that read or store the configuration time out after a second and try another control host.
    constexpr std::chrono::milliseconds requestTimeout { 900 };
    // How often a call that waits for its result checks whether the service is stopping.
    constexpr std::chrono::milliseconds stopCheckInterval { 20 };
    constexpr char const* stoppingText = "this host is stopping";
    constexpr duration helloInterval = std::chrono::milliseconds(700);
    // Log lines are written in batches: at this interval while the process is busy, at the next wake-up otherwise.
    constexpr duration flushInterval = std::chrono::milliseconds(50);
    constexpr duration failurePublicationInterval = std::chrono::milliseconds(500);
    constexpr duration maintenanceInterval = std::chrono::seconds(1);
    // Directories of up to this many pages are sent unrequested to all known balancers after a restart.
    constexpr size_t maximumPushedPages = 2;
    // The leader sends new routes at once, but at most one version per interval. Followers wait for the delay, and then
    // send them only to balancers that still lack them.
    constexpr duration routePublicationInterval = std::chrono::milliseconds(150);
    constexpr duration followerRouteDelay = std::chrono::milliseconds(500);
    // During this time after the start every hello message requests a host list. It covers several rounds, since some
    // messages may be lost.
    constexpr duration startupDuration = std::chrono::seconds(3);
    // Directories up to this size, about 600 servers, are sent unrequested to all known balancers after a restart.
    // Control hosts that start together then send a few megabytes each.
    constexpr size_t maximumPushedBytes = size_t { 64 } * 1024;
    // Time to respond to balancers before opening the log, which blocks for about 200 ms on a small host. Balancers
    // whose power returns together start within about this time.
    constexpr duration startupResponseWindow = std::chrono::milliseconds(300);
    // The time grows while hundreds of balancers fetch a large directory: a page is requested at least this often.
    constexpr duration pageRequestGap = std::chrono::milliseconds(60);
    constexpr duration maximumResponseWindow = std::chrono::milliseconds(800);
    // Limits log lines about announcements; after a restart thousands of servers announce themselves within a second.
    constexpr uint32_t announcementLinesPerSecond = 200;
    constexpr duration hostExpiry = std::chrono::seconds(60);
    // Files with the last known state, stored beside the replicated log.
    constexpr char const* routesFile = "last-routes";
    constexpr char const* hostsFile = "last-hosts";
    constexpr char const* serversFile = "last-servers";
    constexpr char const* evacuationsFile = "last-evacuations";
    // Maximum number of messages that one step handles before it checks timers.
    constexpr int messagesPerStep = 64;

    uint64_t randomNonZeroEpoch()
    {
        std::random_device random;
        return static_cast<uint64_t>(random()) << 32 | random() | 1;
    }

    std::vector<ip_endpoint> peersOfSeeds(fleet_settings const& settings)
    {
        std::vector<ip_endpoint> peers;
        for (auto const& seed : settings.seeds)
            peers.push_back({ seed.address, settings.peerPort });
        return peers;
    }

} // namespace

absl::StatusOr<std::unique_ptr<control_service>> control_service::create(
    fleet_settings const& settings, route_reader readRoutes, seed_source seeds, metrics_registry& metrics)
{
    auto channel = peer_channel::create({ settings.address, settings.peerPort });
    if (!channel.ok())
        return channel.status();
    auto wake = wake_signal::create();
    if (!wake.ok())
        return wake.status();
    return std::unique_ptr<control_service>(new control_service(
        settings, std::move(readRoutes), std::move(seeds), metrics, *std::move(channel), *std::move(wake)));
}

control_service::control_service(fleet_settings const& settings, route_reader readRoutes, seed_source seeds,
    metrics_registry& metrics, peer_channel channel, wake_signal wake)
    : m_settings(settings)
    , m_readRoutes(std::move(readRoutes))
    , m_seedSource(std::move(seeds))
    , m_metrics(metrics)
    , m_channel(std::move(channel))
    , m_wake(std::move(wake))
    , m_startedAt(bootTime())
    , m_announcementLines(announcementLinesPerSecond)
    , m_hosts({ settings.address, settings.peerPort })
    , m_feed({}, randomNonZeroEpoch())
    , m_warmUp(settings)
    , m_otherServers(settings.zone,
          [this](ip_endpoint const& receiver, fleet_message const& message) { m_channel.send(receiver, message); })
    , m_group(
          settings,
          [this](ip_endpoint const& receiver, fleet_message const& message) { m_channel.send(receiver, message); },
          m_wake)
{
    m_group.setSeeds(peersOfSeeds(settings));
}

fleet_host control_service::self() const
{
    return { { m_settings.address, m_settings.peerPort }, host_role::Control, m_settings.zone, m_settings.name,
        m_settings.controlEndpoint ? m_settings.controlEndpoint->port : uint16_t { 0 }, {} };
}

absl::StatusOr<announcement_effect> control_service::announce(backend_announcement const& announcement)
{
    // A change that is accepted now would not be sent to balancers.
    if (m_isStopped)
        return makeError(error_kind::Unavailable, stoppingText);
    if (auto const defect = findDefect(announcement); defect != announcement_defect::None) {
        logUnusable(announcement, nameOf(defect));
        return makeError(
            error_kind::InvalidArgument, "the " + std::string(nameOf(defect)) + " of the server cannot be used");
    }
    auto const effect = m_feed.announce(announcement, bootTime());
    if (effect != announcement_effect::Ignored && effect != announcement_effect::Deferred)
        m_warmUp.recordAnnouncement(announcement, bootTime());
    m_metrics.counter("announcements_total").add();
    if (effect == announcement_effect::Deferred)
        logUnusable(announcement, "unconfigured_service");
    if (effect == announcement_effect::Added || effect == announcement_effect::Changed) {
        m_wake.raise();
        std::lock_guard const lock(m_announcementLinesMutex);
        if (!m_announcementLines.tryAcquire(bootTime()))
            return effect;
        m_logger.emit(events::serverAnnounced,
            "server=" + announcement.id + " service=" + announcement.service
                + " state=" + std::to_string(static_cast<int>(announcement.state)) + " started="
                + std::to_string(announcement.startedAtMs) + " sequence=" + std::to_string(announcement.sequence)
                + " outcome=" + (effect == announcement_effect::Added ? "added" : "changed"));
    }
    return effect;
}

void control_service::logUnusable(backend_announcement const& announcement, std::string_view reason)
{
    m_metrics.counter("announcements_refused_" + std::string(reason) + "_total").add();
    std::lock_guard const lock(m_announcementLinesMutex);
    if (!m_announcementLines.tryAcquire(bootTime()))
        return;
    // An identifier with a defect may contain anything that would make the log unreadable.
    bool const isReadable = reason != nameOf(announcement_defect::Identifier);
    m_logger.emit(events::announcementRefused,
        "server=" + (isReadable ? announcement.id : "-") + " identifier_bytes=" + std::to_string(announcement.id.size())
            + " reason=" + std::string(reason));
}

template <typename Function>
document_response control_service::runOnServiceThread(Function function)
{
    struct call_guard {
        explicit call_guard(std::atomic<int>& count)
            : m_count(count)
        {
            ++m_count;
        }
        ~call_guard() { --m_count; }
        call_guard(call_guard const&) = delete;
        call_guard& operator=(call_guard const&) = delete;

    private:
        std::atomic<int>& m_count;
    };
    call_guard const guard(m_activeCalls);
    // Shared, because the task may set the result after the caller has timed out.
    auto const result = std::make_shared<std::promise<document_response>>();
    auto future = result->get_future();
    auto const unavailable = [](char const* reason) {
        return document_response { makeError(error_kind::Unavailable, reason), {}, std::nullopt };
    };
    auto const deadline = bootTime() + requestTimeout;
    // The caller repeats a call that timed out, and may have sent the opposite order since.
    auto task = [function = std::move(function), result, deadline] {
        if (bootTime() < deadline)
            function(result);
    };
    if (!m_tasks.push(std::move(task)))
        return unavailable("the queue of configuration requests is full");
    m_wake.raise();
    while (future.wait_for(stopCheckInterval) != std::future_status::ready) {
        if (m_isStopped)
            return unavailable(stoppingText);
        if (bootTime() >= deadline)
            return unavailable("the configuration request timed out without a response from a majority");
    }
    return future.get();
}

void control_service::finishCalls()
{
    m_isStopped = true;
    publishDirectory(bootTime());
    auto const end = bootTime() + 3 * stopCheckInterval;
    while (m_activeCalls > 0 && bootTime() < end)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

void control_service::logRequest(char const* kind, uint64_t version, document_response const& response) const
{
    m_logger.emit(events::documentRequested,
        std::string("kind=") + kind + " version=" + std::to_string(version)
            + " leader=" + (response.leader ? response.leader->toText() : std::string("-"))
            + " outcome=" + (response.status.ok() ? std::string("ok") : "\"" + messageOf(response.status) + "\""));
}

document_response control_service::store(versioned_document document)
{
    auto const version = document.version;
    auto const startedAt = bootTime();
    auto response = runOnServiceThread(
        [this, document = std::move(document)](std::shared_ptr<std::promise<document_response>> const& result) {
            m_group.store(
                document, [result](document_response const& stored) { result->set_value(stored); }, bootTime());
        });
    m_metrics.distribution("store_seconds").add(std::chrono::duration<double>(bootTime() - startedAt).count());
    logRequest("store", version, response);
    return response;
}

document_response control_service::order(evacuation_order const& order)
{
    auto const name = order.change == evacuation_change::Begin ? "begin" : "end";
    document_response response;
    bool const isKnown = m_settings.zones.contains(order.zone);
    if (!isKnown)
        response.status = makeError(error_kind::InvalidArgument, "the deployment has no such availability zone");
    else
        response = runOnServiceThread([this, order](std::shared_ptr<std::promise<document_response>> const& result) {
            m_group.order(
                { order.zone, order.change, m_highestEvacuationRevision },
                [result](document_response const& ordered) { result->set_value(ordered); }, bootTime());
        });
    // An unknown zone may contain anything that would make the log unreadable.
    m_logger.emit(events::evacuationRequested,
        "zone=" + (isKnown ? order.zone : "-") + " zone_bytes=" + std::to_string(order.zone.size()) + " change=" + name
            + " outcome=" + (response.status.ok() ? std::string("ok") : "\"" + messageOf(response.status) + "\""));
    return response;
}

document_response control_service::read()
{
    auto response = runOnServiceThread([this](std::shared_ptr<std::promise<document_response>> const& result) {
        result->set_value(m_group.read(bootTime()));
    });
    logRequest("read", response.document.version, response);
    return response;
}

void control_service::run(std::function<bool()> const& isStopping)
{
    restoreSavedState(bootTime());
    if (pushSavedState(bootTime()) == server_push::Skipped)
        serveStartingBalancers(isStopping);
    m_group.start(bootTime());
    while (!isStopping())
        step();
    // With the transfer, the group has a new leader at once instead of after an election timeout.
    m_group.transferLeadership(bootTime());
    auto const transferEnd = bootTime() + std::chrono::milliseconds(800);
    while (m_group.isLeader() && bootTime() < transferEnd)
        step();
    finishCalls();
}

void control_service::serveStartingBalancers(std::function<bool()> const& isStopping)
{
    auto const startedAt = bootTime();
    auto end = startedAt + startupResponseWindow;
    while (bootTime() < end && !isStopping()) {
        publishDirectory(bootTime());
        if (bootTime() - m_helloSentAt >= helloInterval)
            sendHellos(bootTime());
        wait(bootTime());
        receive();
        end = std::min(std::max(end, m_pageSentAt + pageRequestGap), startedAt + maximumResponseWindow);
    }
}

void control_service::step()
{
    auto const now = bootTime();
    while (auto const task = m_tasks.pop())
        (*task)();
    m_group.step(m_hosts, now);
    m_otherServers.step(now);
    refreshRoutes(now);
    refreshEvacuations(now);
    publishDirectory(now);
    publishRoutes(now);
    publishFailures(now);
    if (now - m_helloSentAt >= helloInterval)
        sendHellos(now);
    if (now - m_maintainedAt >= maintenanceInterval) {
        m_maintainedAt = now;
        m_feed.expire(now);
        m_warmUp.maintain(m_metrics, now);
        for (auto const& id : m_otherServers.view().expire(now))
            m_feed.forgetElsewhere(id);
        std::erase_if(m_fullDirectorySentAt, [&](auto const& item) { return now - item.second > hostExpiry; });
        m_hosts.expire(now, hostExpiry);
        saveState(now);
        readSeeds();
        updateMetrics();
        std::lock_guard const lock(m_announcementLinesMutex);
        if (auto const count = m_announcementLines.drainSuppressedCount(); count > 0)
            m_logger.emit(events::linesSuppressed, "count=" + std::to_string(count));
    }
    if (now - m_flushedAt >= flushInterval) {
        m_flushedAt = now;
        event_logger::flush();
    }
    wait(now);
    receive();
}

void control_service::wait(monotonic_time now)
{
    auto deadline = std::min(m_helloSentAt + helloInterval, m_group.nextDeadline());
    deadline = std::min(deadline, m_leaseSentAt + leaseInterval);
    deadline = std::min(deadline, m_otherServers.nextDeadline());
    if (m_feed.hasChanges())
        deadline = std::min(deadline, m_directoryPublishedAt + changeDelay());
    if (m_group.isLeader() && m_publishedVersion < m_routesVersion)
        deadline = std::min(deadline, m_routesPublishedAt + routePublicationInterval);
    auto const remaining
        = std::chrono::ceil<std::chrono::milliseconds>(std::max(deadline - now, duration::zero())).count();
    std::array<pollfd, 2> descriptors { pollfd { m_channel.descriptor(), POLLIN, 0 },
        pollfd { m_wake.descriptor(), POLLIN, 0 } };
    // An interruption by a signal needs no retry: the caller checks all work again, as after a message.
    poll(descriptors.data(), descriptors.size(), static_cast<int>(remaining));
    if (descriptors[1].revents != 0)
        m_wake.clear();
}

void control_service::receive()
{
    bool isEmpty = false;
    for (int count = 0; count < messagesPerStep && !isEmpty; ++count) {
        // Read the clock after the message: a message that arrived while the host was suspended must be handled at the
        // current time, or an expired lease would still count as valid.
        auto const message = m_channel.receive(bootTime(), isEmpty);
        if (!message)
            continue;
        std::visit([&](auto const& body) { handle(message->sender, body, bootTime()); }, message->message);
    }
}

void control_service::handle(ip_endpoint const& sender, hello_message const& message, monotonic_time now)
{
    auto host = message.host;
    host.age = {};
    if (!m_hosts.find(host.peer))
        m_logger.emit(events::hostHeard, "host=" + host.name + " peer=" + host.peer.toText() + " zone=" + host.zone);
    m_hosts.updateHost(host, now);
    m_highestEvacuationRevision = std::max(m_highestEvacuationRevision, message.evacuationRevision);
    // Before the response, which names the revision: the balancer requests the zones if it lacks them then.
    if (host.role == host_role::Balancer && message.evacuationRevision < m_evacuations.revision)
        m_channel.send(sender, m_evacuations);
    m_channel.send(sender,
        message.hosts == host_list::Requested ? makeHelloResponse(host.role, now) : makeSelfOnlyHelloResponse(now));
    if (host.protocol == directory_protocol::Renewals)
        sendMissingServers(sender, message, now);
    if (host.role != host_role::Balancer)
        return;
    sendMissingRoutes(sender, message, now);
}

void control_service::sendMissingRoutes(ip_endpoint const& receiver, hello_message const& message, monotonic_time now)
{
    if (message.configurationVersion >= m_routesVersion)
        return;
    if (message.host.protocol == directory_protocol::Leases) {
        if (message.routes == route_request::Requested)
            m_channel.sendEncoded(receiver, m_routeHistory.encodedSince(message.configurationVersion));
        return;
    }
    bool const isDue
        = m_group.isLeader() || now - m_routesChangedAt >= followerRouteDelay || message.configurationVersion == 0;
    if (isDue)
        m_channel.sendEncoded(receiver, m_encodedRoutes);
}

hello_response control_service::makeHelloResponse(host_role receiver, monotonic_time now) const
{
    auto helloResponse = makeSelfOnlyHelloResponse(now);
    auto const append = [&](std::vector<fleet_host> const& hosts) {
        helloResponse.hosts.insert(helloResponse.hosts.end(), hosts.begin(), hosts.end());
    };
    append(m_hosts.list(host_role::Control, now, hostExpiry));
    if (receiver == host_role::Control)
        append(m_hosts.list(host_role::Balancer, now, subscriberTimeout));
    return helloResponse;
}

hello_response control_service::makeSelfOnlyHelloResponse(monotonic_time now) const
{
    hello_response helloResponse;
    helloResponse.hosts.push_back(self());
    helloResponse.configurationVersion = m_routesVersion;
    helloResponse.uptime = now - m_startedAt;
    helloResponse.isDirectoryRestored = m_isDirectoryRestored;
    helloResponse.evacuationRevision = m_evacuations.revision;
    return helloResponse;
}

control_service::server_push control_service::pushSavedState(monotonic_time now)
{
    auto const balancers = m_hosts.list(host_role::Balancer, now, hostExpiry);
    if (balancers.empty() || m_encodedRoutes.empty())
        return server_push::Done;
    auto const helloResponse = encodeFleetMessage(makeHelloResponse(host_role::Balancer, now));
    auto const& servers = encodedServers(now);
    auto& pagedServers = pages(server_scope::All, now);
    // All control hosts may start together. Balancers request a large directory, so that only one of them sends it.
    bool isComplete = true;
    for (auto const& host : balancers) {
        bool const knowsLeases = host.protocol == directory_protocol::Leases;
        bool const isSmall = knowsLeases
            ? pagedServers.pageCount(host.zone, maximumPushedPages + 1) <= maximumPushedPages
            : servers.size() <= maximumPushedBytes;
        isComplete = isComplete && isSmall;
        // A balancer that has just started places no flows before it knows the evacuated zones.
        m_channel.send(host.peer, m_evacuations);
        if (isSmall || !knowsLeases)
            m_channel.sendEncoded(host.peer, m_encodedRoutes);
        if (isSmall && knowsLeases) {
            for (page_cursor cursor;;) {
                m_channel.sendEncoded(host.peer, pagedServers.encodedPageAt(cursor, host.zone));
                auto const page = pagedServers.pageAt(cursor, host.zone);
                if (page.isLast)
                    break;
                cursor = page.next;
            }
        } else if (isSmall) {
            m_channel.sendEncoded(host.peer, servers);
            m_fullDirectorySentAt[{ host.peer, server_scope::All }] = now;
        }
        m_channel.sendEncoded(host.peer, helloResponse);
    }
    return isComplete ? server_push::Done : server_push::Skipped;
}

void control_service::handle(ip_endpoint const& sender, hello_response const& message, monotonic_time now)
{
    for (auto const& host : message.hosts) {
        auto seenHost = host;
        if (host.peer == sender)
            seenHost.age = {};
        m_hosts.updateHost(seenHost, now);
    }
}

void control_service::handle(ip_endpoint const& sender, control_envelope const& message, monotonic_time now)
{
    auto const decoded = m_codec.decode(message.bytes);
    if (!decoded.ok()) {
        m_metrics.counter("control_messages_refused_total").add();
        return;
    }
    m_group.receive(*decoded, sender, now);
}

void control_service::handle(ip_endpoint const& sender, warm_up_request const& message, monotonic_time now)
{
    if (auto grants = m_warmUp.grant(sender, message, now); !grants.servers.empty())
        m_channel.send(sender, std::move(grants));
}

void control_service::handle(ip_endpoint const& sender, failure_report const& message, monotonic_time now)
{
    m_failures.record(sender, message, now);
}

void control_service::publishFailures(monotonic_time now)
{
    if (m_failures.isEmpty() || now - m_failuresPublishedAt < failurePublicationInterval)
        return;
    m_failuresPublishedAt = now;
    m_failures.expire(now);
    auto sums = m_failures.sums(now);
    bool const wasEmpty = m_publishedFailures.servers.empty();
    m_publishedFailures = std::move(sums);
    if (wasEmpty && m_publishedFailures.servers.empty())
        return;
    auto const encoded = encodeFleetMessage(m_publishedFailures);
    for (auto const& host : m_hosts.list(host_role::Balancer, now, subscriberTimeout))
        m_channel.sendEncoded(host.peer, encoded);
}

void control_service::handle(ip_endpoint const&, join_request const& message, monotonic_time now)
{
    m_group.receive(message, now);
}

std::vector<ip_endpoint> control_service::controlPeers(monotonic_time now) const
{
    auto peers = peersOfSeeds(m_settings);
    for (auto const& host : m_hosts.list(host_role::Control, now, hostExpiry))
        peers.push_back(host.peer);
    auto const members = m_group.memberPeers();
    peers.insert(peers.end(), members.begin(), members.end());
    std::sort(peers.begin(), peers.end());
    peers.erase(std::unique(peers.begin(), peers.end()), peers.end());
    std::erase(peers, self().peer);
    return peers;
}

void control_service::sendHellos(monotonic_time now)
{
    m_helloSentAt = now;
    auto const peers = controlPeers(now);
    bool const isStarting = now - m_startedAt < startupDuration;
    m_hostListRotation.beginRound(peers.size());
    for (auto const& peer : peers) {
        auto const knownPosition = m_otherServers.view().positionOf(peer);
        auto const listRequest = m_hostListRotation.next();
        m_channel.send(peer,
            hello_message { self(), m_routesVersion, knownPosition.epoch, knownPosition.revision,
                isStarting ? host_list::Requested : listRequest });
    }
}

void control_service::refreshRoutes(monotonic_time now)
{
    auto const& document = m_group.document();
    if (document.version <= m_routesVersion)
        return;
    m_routesVersion = document.version;
    m_routesChangedAt = now;
    auto const routes = m_readRoutes(document.bytes);
    if (!routes.ok()) {
        // Documents are validated before they are stored, so a later version of this program must have stored this one.
        m_logger.emit(events::configurationRefused, messageOf(routes.status()));
        return;
    }
    m_encodedRoutes = encodeFleetMessage(*routes);
    m_routeHistory.add(*routes);
    setServices(*routes, now);
    m_group.saveFile(routesFile, m_encodedRoutes);
}

void control_service::refreshEvacuations(monotonic_time now)
{
    if (m_group.evacuations().revision <= m_evacuations.revision)
        return;
    m_evacuations = m_group.evacuations();
    m_highestEvacuationRevision = std::max(m_highestEvacuationRevision, m_evacuations.revision);
    m_group.saveFile(evacuationsFile, encodeFleetMessage(m_evacuations));
    for (auto const& host : m_hosts.list(host_role::Balancer, now, subscriberTimeout))
        m_channel.send(host.peer, m_evacuations);
}

template <typename Message>
std::optional<Message> control_service::loadMessage(char const* file)
{
    auto const bytes = m_group.loadFile(file);
    if (!bytes)
        return std::nullopt;
    auto message = decodeFleetMessage(*bytes);
    if (message.ok() && std::holds_alternative<Message>(*message))
        return std::get<Message>(*std::move(message));
    m_logger.emit(events::savedConfigurationDamaged, file);
    return std::nullopt;
}

void control_service::restoreSavedState(monotonic_time now)
{
    // After a power loss of the whole deployment there is no leader for about a second, and servers announce themselves
    // one by one. Until then callers are served with the saved routes, hosts and servers. Reads of the configuration
    // are never served from this state.
    if (auto const routes = loadMessage<route_table>(routesFile)) {
        m_routesVersion = routes->version;
        m_routeHistory.add(*routes);
        m_encodedRoutes = encodeFleetMessage(*routes);
        setServices(*routes, now);
    }
    if (auto const hosts = loadMessage<hello_response>(hostsFile)) {
        // The saved ages are unknown, so the hosts count as just seen; those that have left expire as usual.
        for (auto const& host : hosts->hosts)
            m_hosts.updateHost(host, now);
    }
    if (auto const servers = loadMessage<directory_update>(serversFile))
        restoreServers(*servers, now);
    if (auto const evacuations = loadMessage<evacuated_zones>(evacuationsFile))
        m_evacuations = *evacuations;
    m_highestEvacuationRevision = m_evacuations.revision;
}

void control_service::restoreServers(directory_update update, monotonic_time now)
{
    // Restored records count as old, so that any announcement of the server itself supersedes them.
    for (auto& record : update.records)
        record.age = backend_directory_settings().announcementTimeout;
    applyChanges(m_otherServers.apply(self().peer, update, now));
    m_isDirectoryRestored = true;
}

void control_service::saveState(monotonic_time now)
{
    hello_response hosts;
    for (auto const role : { host_role::Control, host_role::Balancer }) {
        for (auto host : m_hosts.list(role, now, hostExpiry)) {
            host.age = {};
            hosts.hosts.push_back(std::move(host));
        }
    }
    if (auto bytes = encodeFleetMessage(hosts); bytes != m_savedHosts) {
        m_savedHosts = bytes;
        m_group.saveFile(hostsFile, std::move(bytes));
    }
    auto const revision = m_feed.recordChanges() + m_otherServers.view().directory().revision();
    if (revision == m_savedRevision)
        return;
    m_savedRevision = revision;
    m_group.saveFile(serversFile, encodeFleetMessage(allServers(now)));
}

void control_service::publishRoutes(monotonic_time now)
{
    if (m_publishedVersion >= m_routesVersion || now - m_routesPublishedAt < routePublicationInterval
        || m_encodedRoutes.empty())
        return;
    auto const previousVersion = std::exchange(m_publishedVersion, m_routesVersion);
    if (!m_group.isLeader())
        return;
    m_routesPublishedAt = now;
    // A balancer that missed an earlier version cannot apply the difference, and requests the one it needs.
    auto const& difference = m_routeHistory.encodedSince(previousVersion);
    for (auto const& host : m_hosts.list(host_role::Balancer, now, subscriberTimeout))
        m_channel.sendEncoded(host.peer, host.protocol == directory_protocol::Leases ? difference : m_encodedRoutes);
}

void control_service::readSeeds()
{
    auto const seeds = m_seedSource();
    if (!seeds)
        return;
    m_settings.seeds = *seeds;
    m_group.setSeeds(peersOfSeeds(m_settings));
    m_logger.emit(events::settingsReloaded, "seeds=" + std::to_string(seeds->size()));
}

void control_service::updateMetrics()
{
    m_metrics.setGauge("control_is_leader", m_group.isLeader() ? 1 : 0);
    m_metrics.setGauge("control_configuration_version", static_cast<double>(m_routesVersion));
    m_metrics.setGauge("control_evacuated_zones", static_cast<double>(m_evacuations.zones.size()));
    m_metrics.setGauge("control_conspicuous_servers", static_cast<double>(m_publishedFailures.servers.size()));
    m_metrics.setGauge("control_term", static_cast<double>(m_group.term()));
    m_metrics.setGauge("control_commit_index", static_cast<double>(m_group.commitIndex()));
    m_metrics.setGauge("peer_sent_bytes", static_cast<double>(m_channel.sentBytes()));
    m_metrics.setGauge("peer_received_bytes", static_cast<double>(m_channel.receivedBytes()));
    m_metrics.setGauge("peer_messages_refused", static_cast<double>(m_channel.refused()));
}

} // namespace bilberryyard
