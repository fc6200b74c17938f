#include "control_service.h"

#include <Base/boot_clock.h>
#include <Base/error_kind.h>
#include <Fleet/fleet_codec.h>
#include <algorithm>
#include <array>
#include <future>
#include <poll.h>
#include <random>

namespace bilberryyard {

namespace {

    // Callers give up after a second and ask another control host.
    constexpr std::chrono::milliseconds answerLimit { 900 };
    constexpr duration greetInterval = std::chrono::milliseconds(700);
    // Lines wait this long at most while the process is busy, and until the next wake-up otherwise.
    constexpr duration flushInterval = std::chrono::milliseconds(50);
    constexpr duration maintenanceInterval = std::chrono::seconds(1);
    // Renewals are sent together; a balancer gives up on a server after several announcement intervals.
    constexpr duration renewalInterval = std::chrono::milliseconds(500);
    // Changes that arrive within this time are sent together.
    constexpr duration changeInterval = std::chrono::milliseconds(20);
    // The leader sends new routes at once; the others only to balancers that still lack them later.
    constexpr duration routesInterval = std::chrono::milliseconds(150);
    constexpr duration followerDelay = std::chrono::milliseconds(500);
    // A host that starts asks all others for their lists: several greetings, some of which may be lost.
    constexpr duration startTime = std::chrono::seconds(3);
    // A host that starts greets every 150 ms; what was sent to it before is on its way. With 3,000 servers a directory
    // has 270 KB, and hundreds of hosts may start at once.
    constexpr duration wholeDirectoryInterval = std::chrono::milliseconds(500);
    // A directory of about 600 servers goes to all known balancers without being asked for; control hosts that start
    // together then send a few megabytes each.
    constexpr size_t pushedServersBytes = size_t { 64 } * 1024;
    // Time for answering balancers before the log is opened, which takes some 200 ms on a small host.
    constexpr duration greetingTime = std::chrono::milliseconds(150);
    // An encoded directory serves many hosts that start together; the ages in it are off by this much.
    constexpr duration encodedServersAge = std::chrono::milliseconds(100);
    // Balancers greet every 700 ms; one that has been silent for longer is not written to.
    constexpr duration subscriberLimit = std::chrono::seconds(8);
    constexpr duration hostLimit = std::chrono::seconds(60);
    // What was known last, beside the replicated log.
    constexpr char const* routesName = "last-routes";
    constexpr char const* hostsName = "last-hosts";
    constexpr char const* serversName = "last-servers";
    // Messages that are handled before timers are looked at again.
    constexpr int messagesPerStep = 64;

    uint64_t randomEpoch()
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
    , m_hosts({ settings.address, settings.peerPort })
    , m_feed({}, randomEpoch())
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
        m_settings.control ? m_settings.control->port : uint16_t { 0 }, {} };
}

announcement_effect control_service::announce(backend_announcement const& announcement)
{
    auto const effect = m_feed.announce(announcement, bootTime());
    m_metrics.counter("announcements_total").add();
    if (effect == announcement_effect::Added || effect == announcement_effect::Changed) {
        m_logger.emit(events::serverAnnounced,
            "server=" + announcement.id + " service=" + announcement.service
                + " state=" + std::to_string(static_cast<int>(announcement.state)) + " started="
                + std::to_string(announcement.startedAtMs) + " sequence=" + std::to_string(announcement.sequence)
                + " outcome=" + (effect == announcement_effect::Added ? "added" : "changed"));
        m_wake.raise();
    }
    return effect;
}

template <typename Function>
document_response control_service::ask(Function function)
{
    // The promise outlives a caller that has stopped waiting.
    auto const result = std::make_shared<std::promise<document_response>>();
    auto future = result->get_future();
    auto const unavailable = [](char const* reason) {
        return document_response { makeError(error_kind::Unavailable, reason), {}, std::nullopt };
    };
    if (!m_tasks.push([function = std::move(function), result] { function(result); }))
        return unavailable("too many requests wait");
    m_wake.raise();
    if (future.wait_for(answerLimit) != std::future_status::ready)
        return unavailable("no majority answered in time");
    return future.get();
}

void control_service::logRequest(char const* kind, uint64_t version, document_response const& answer) const
{
    m_logger.emit(events::documentRequested,
        std::string("kind=") + kind + " version=" + std::to_string(version)
            + " leader=" + (answer.leader ? answer.leader->toText() : std::string("-"))
            + " outcome=" + (answer.status.ok() ? std::string("ok") : "\"" + messageOf(answer.status) + "\""));
}

document_response control_service::store(versioned_document document)
{
    auto const version = document.version;
    auto const startedAt = bootTime();
    auto answer
        = ask([this, document = std::move(document)](std::shared_ptr<std::promise<document_response>> const& result) {
              m_group.store(
                  document, [result](document_response const& stored) { result->set_value(stored); }, bootTime());
          });
    m_metrics.distribution("store_seconds").add(std::chrono::duration<double>(bootTime() - startedAt).count());
    logRequest("store", version, answer);
    return answer;
}

document_response control_service::read()
{
    auto answer = ask([this](std::shared_ptr<std::promise<document_response>> const& result) {
        result->set_value(m_group.read(bootTime()));
    });
    logRequest("read", answer.document.version, answer);
    return answer;
}

void control_service::run(std::function<bool()> const& isStopping)
{
    restoreLastKnown(bootTime());
    if (greetBalancers(bootTime()) == server_push::Left) {
        for (auto const limit = bootTime() + greetingTime; bootTime() < limit && !isStopping();) {
            publishDirectory(bootTime());
            if (bootTime() - m_greetedAt >= greetInterval)
                greetPeers(bootTime());
            wait(bootTime());
            receive();
        }
    }
    m_group.start(bootTime());
    while (!isStopping())
        step();
    // Another leader is found at once instead of after an election timeout.
    m_group.transferLeadership(bootTime());
    auto const limit = bootTime() + std::chrono::milliseconds(800);
    while (m_group.isLeader() && bootTime() < limit)
        step();
}

void control_service::step()
{
    auto const now = bootTime();
    while (auto const task = m_tasks.pop())
        (*task)();
    m_group.step(m_hosts, now);
    refreshRoutes(now);
    publishDirectory(now);
    publishRoutes(now);
    if (now - m_greetedAt >= greetInterval)
        greetPeers(now);
    if (now - m_maintainedAt >= maintenanceInterval) {
        m_maintainedAt = now;
        m_feed.expire(now);
        m_others.expire(now);
        std::erase_if(m_wholeSentAt, [&](auto const& item) { return now - item.second > hostLimit; });
        m_hosts.expire(now, hostLimit);
        saveLastKnown(now);
        readSeeds();
        updateMetrics();
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
    auto deadline = std::min(m_greetedAt + greetInterval, m_group.nextDeadline());
    deadline = std::min(deadline, m_directoryPublishedAt + (m_feed.hasChanges() ? changeInterval : renewalInterval));
    if (m_group.isLeader() && m_publishedVersion < m_routesVersion)
        deadline = std::min(deadline, m_routesPublishedAt + routesInterval);
    auto const left = std::chrono::ceil<std::chrono::milliseconds>(std::max(deadline - now, duration::zero())).count();
    std::array<pollfd, 2> descriptors { pollfd { m_channel.descriptor(), POLLIN, 0 },
        pollfd { m_wake.descriptor(), POLLIN, 0 } };
    // An interruption by a signal is as good as a message: the caller looks at everything again.
    poll(descriptors.data(), descriptors.size(), static_cast<int>(left));
    if (descriptors[1].revents != 0)
        m_wake.clear();
}

void control_service::receive()
{
    bool isEmpty = false;
    for (int count = 0; count < messagesPerStep && !isEmpty; ++count) {
        // The clock is read after the message: one that arrived while the host was suspended must not meet a lease
        // as it was before.
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
    m_hosts.learn(host, now);
    m_channel.send(sender,
        message.hosts == host_list::Wanted ? makeHelloResponse(host.role, now) : makeSelfOnlyHelloResponse(now));
    sendMissingServers(sender, message, now);
    if (host.role != host_role::Balancer)
        return;
    bool const isDue
        = m_group.isLeader() || now - m_routesChangedAt >= followerDelay || message.configurationVersion == 0;
    if (message.configurationVersion < m_routesVersion && isDue)
        m_channel.sendEncoded(sender, m_encodedRoutes);
}

void control_service::sendMissingServers(ip_endpoint const& receiver, hello_message const& message, monotonic_time now)
{
    bool const wantsAll = message.servers == server_scope::All;
    auto const update = m_feed.missing(message.directoryEpoch, message.directoryRevision, now);
    if (!wantsAll && !update)
        return;
    if (!wantsAll && update->fromRevision > 0)
        return m_channel.send(receiver, *update);
    auto& sentAt = m_wholeSentAt[{ receiver, message.servers }];
    if (now - sentAt < wholeDirectoryInterval)
        return;
    sentAt = now;
    if (wantsAll)
        m_channel.sendEncoded(receiver, encodedServers(now));
    else
        m_channel.send(receiver, *update);
}

hello_response control_service::makeHelloResponse(host_role receiver, monotonic_time now) const
{
    auto welcome = makeSelfOnlyHelloResponse(now);
    auto const append = [&](std::vector<fleet_host> const& hosts) {
        welcome.hosts.insert(welcome.hosts.end(), hosts.begin(), hosts.end());
    };
    append(m_hosts.list(host_role::Control, now, hostLimit));
    if (receiver == host_role::Control)
        append(m_hosts.list(host_role::Balancer, now, subscriberLimit));
    return welcome;
}

hello_response control_service::makeSelfOnlyHelloResponse(monotonic_time now) const
{
    hello_response welcome;
    welcome.hosts.push_back(self());
    welcome.configurationVersion = m_routesVersion;
    welcome.uptime = now - m_startedAt;
    welcome.isDirectoryRestored = m_isRestored;
    return welcome;
}

void control_service::handle(ip_endpoint const& sender, directory_update const& message, monotonic_time now)
{
    m_others.apply(sender, message, now);
}

directory_update control_service::allServers(monotonic_time now) const
{
    auto update = m_feed.everything(now);
    update.scope = server_scope::All;
    for (auto const& [id, entry] : m_others.directory().entries())
        update.records.push_back({ entry.announcement, now - entry.lastSeenAt });
    return update;
}

std::string const& control_service::encodedServers(monotonic_time now)
{
    if (m_encodedServers.empty() || now - m_serversEncodedAt >= encodedServersAge) {
        m_encodedServers = encodeFleetMessage(allServers(now));
        m_serversEncodedAt = now;
    }
    return m_encodedServers;
}

control_service::server_push control_service::greetBalancers(monotonic_time now)
{
    auto const balancers = m_hosts.list(host_role::Balancer, now, hostLimit);
    if (balancers.empty() || m_encodedRoutes.empty())
        return server_push::Done;
    auto const welcome = encodeFleetMessage(makeHelloResponse(host_role::Balancer, now));
    auto const& servers = encodedServers(now);
    // All control hosts may start together. A large directory is asked for, and sent by one of them.
    bool const isSmall = servers.size() <= pushedServersBytes;
    for (auto const& host : balancers) {
        m_channel.sendEncoded(host.peer, m_encodedRoutes);
        if (isSmall) {
            m_channel.sendEncoded(host.peer, servers);
            m_wholeSentAt[{ host.peer, server_scope::All }] = now;
        }
        m_channel.sendEncoded(host.peer, welcome);
    }
    return isSmall ? server_push::Done : server_push::Left;
}

void control_service::handle(ip_endpoint const& sender, hello_response const& message, monotonic_time now)
{
    for (auto const& host : message.hosts) {
        auto heard = host;
        if (host.peer == sender)
            heard.age = {};
        m_hosts.learn(heard, now);
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

void control_service::handle(ip_endpoint const&, join_request const& message, monotonic_time now)
{
    m_group.receive(message, now);
}

std::vector<ip_endpoint> control_service::controlPeers(monotonic_time now) const
{
    auto peers = peersOfSeeds(m_settings);
    for (auto const& host : m_hosts.list(host_role::Control, now, hostLimit))
        peers.push_back(host.peer);
    auto const members = m_group.memberPeers();
    peers.insert(peers.end(), members.begin(), members.end());
    std::sort(peers.begin(), peers.end());
    peers.erase(std::unique(peers.begin(), peers.end()), peers.end());
    std::erase(peers, self().peer);
    return peers;
}

void control_service::greetPeers(monotonic_time now)
{
    m_greetedAt = now;
    auto const peers = controlPeers(now);
    bool const isStarting = now - m_startedAt < startTime;
    m_listTurn.beginRound(peers.size());
    for (auto const& peer : peers) {
        auto const held = m_others.positionOf(peer);
        auto const turn = m_listTurn.next();
        m_channel.send(peer,
            hello_message {
                self(), m_routesVersion, held.epoch, held.revision, isStarting ? host_list::Wanted : turn });
    }
}

void control_service::publishDirectory(monotonic_time now)
{
    auto const interval = m_feed.hasChanges() ? changeInterval : renewalInterval;
    if (now - m_directoryPublishedAt < interval)
        return;
    m_directoryPublishedAt = now;
    auto const update = m_feed.drainChanges(now);
    if (!update)
        return;
    auto const bytes = encodeFleetMessage(*update);
    for (auto const role : { host_role::Balancer, host_role::Control }) {
        for (auto const& host : m_hosts.list(role, now, subscriberLimit))
            m_channel.sendEncoded(host.peer, bytes);
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
        // Only valid documents are stored, so a later version of this program wrote it.
        m_logger.emit(events::configurationRefused, messageOf(routes.status()));
        return;
    }
    m_encodedRoutes = encodeFleetMessage(*routes);
    m_group.saveFile(routesName, m_encodedRoutes);
}

void control_service::restoreLastKnown(monotonic_time now)
{
    // After a loss of power, no leader is known for a second and servers announce themselves one by one. What was in
    // force and who was there before serves callers meanwhile; this host answers no read of the configuration from it.
    if (auto bytes = m_group.loadFile(routesName)) {
        auto const message = decodeFleetMessage(*bytes);
        if (message.ok() && std::holds_alternative<route_table>(*message)) {
            m_routesVersion = std::get<route_table>(*message).version;
            m_encodedRoutes = *std::move(bytes);
        } else {
            m_logger.emit(events::savedConfigurationDamaged, routesName);
        }
    }
    if (auto const bytes = m_group.loadFile(hostsName)) {
        auto const message = decodeFleetMessage(*bytes);
        if (message.ok() && std::holds_alternative<hello_response>(*message)) {
            // Their age is not known; those that are gone are forgotten like others.
            for (auto const& host : std::get<hello_response>(*message).hosts)
                m_hosts.learn(host, now);
        } else {
            m_logger.emit(events::savedConfigurationDamaged, hostsName);
        }
    }
    if (auto const bytes = m_group.loadFile(serversName)) {
        auto const message = decodeFleetMessage(*bytes);
        if (message.ok() && std::holds_alternative<directory_update>(*message)) {
            restoreServers(std::get<directory_update>(*message), now);
        } else {
            m_logger.emit(events::savedConfigurationDamaged, serversName);
        }
    }
}

void control_service::restoreServers(directory_update update, monotonic_time now)
{
    // Whatever a server says itself goes before it.
    for (auto& record : update.records)
        record.age = backend_directory_settings().announcementTimeout;
    m_others.apply(self().peer, update, now);
    m_isRestored = true;
}

void control_service::saveLastKnown(monotonic_time now)
{
    hello_response hosts;
    for (auto const role : { host_role::Control, host_role::Balancer }) {
        for (auto host : m_hosts.list(role, now, hostLimit)) {
            host.age = {};
            hosts.hosts.push_back(std::move(host));
        }
    }
    if (auto bytes = encodeFleetMessage(hosts); bytes != m_savedHosts) {
        m_savedHosts = bytes;
        m_group.saveFile(hostsName, std::move(bytes));
    }
    auto const revision = m_feed.revision() + m_others.directory().revision();
    if (revision == m_savedRevision)
        return;
    m_savedRevision = revision;
    m_group.saveFile(serversName, encodeFleetMessage(allServers(now)));
}

void control_service::publishRoutes(monotonic_time now)
{
    if (m_publishedVersion >= m_routesVersion || now - m_routesPublishedAt < routesInterval || m_encodedRoutes.empty())
        return;
    m_publishedVersion = m_routesVersion;
    if (!m_group.isLeader())
        return;
    m_routesPublishedAt = now;
    for (auto const& host : m_hosts.list(host_role::Balancer, now, subscriberLimit))
        m_channel.sendEncoded(host.peer, m_encodedRoutes);
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
    m_metrics.setGauge("control_term", static_cast<double>(m_group.term()));
    m_metrics.setGauge("control_commit_index", static_cast<double>(m_group.commitIndex()));
    m_metrics.setGauge("peer_sent_bytes", static_cast<double>(m_channel.sentBytes()));
    m_metrics.setGauge("peer_received_bytes", static_cast<double>(m_channel.receivedBytes()));
    m_metrics.setGauge("peer_messages_refused", static_cast<double>(m_channel.refused()));
}

} // namespace bilberryyard
