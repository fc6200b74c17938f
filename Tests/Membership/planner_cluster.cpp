#include "planner_cluster.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace bilberryyard {

namespace {

    constexpr duration tick = std::chrono::milliseconds { 50 };
    // A flow sends every second on average, so it is practically never idle for this long by chance.
    constexpr duration idleTimeout = std::chrono::seconds { 20 };

    uint32_t bucketOf(uint64_t flow) { return static_cast<uint32_t>(flow % planner_cluster::bucketCount); }

} // namespace

planner_cluster::planner_cluster(uint32_t hostCount, uint32_t seed)
    : hosts(hostCount)
    , random(seed)
{
    for (uint32_t id = 1; id <= 6; ++id)
        servers[service].push_back({ server_id { id }, server_condition::Accepting, 1.0, 0, 0, now });
    for (uint32_t host = 1; host <= hostCount; ++host)
        start(host);
}

void planner_cluster::start(uint32_t number)
{
    auto& host = hosts[number - 1];
    host.peer = { host_id { number }, host.peer.incarnation + 1 };
    host.isRunning = true;
    host.intent = host_intent::Staying;
    host.view = std::make_unique<peer_view>(host.peer, zone_id { number % 3 }, peer_settings {}, now);
    std::set<host_id> configured;
    for (uint32_t other = 1; other <= hosts.size(); ++other)
        configured.insert(host_id { other });
    host.view->setConfiguredHosts(configured);
    planner_settings settings;
    settings.coldStart = {};
    settings.flowIdleTimeout = idleTimeout;
    host.coordinator = std::make_unique<table_coordinator>(table_coordinator::create(settings, *host.view).value());
    BOOST_REQUIRE(host.coordinator->setServices({ { service, { service_traffic::Stream, bucketCount } } }).ok());
    host.entries.clear();
    host.baseUsedAt.clear();
    host.observed.clear();
    host.fillingSince.clear();
}

void planner_cluster::crash(uint32_t host)
{
    hosts[host - 1].isRunning = false;
    std::erase_if(m_queuedMessages, [&](queued_message const& value) { return value.receiver == host; });
}

void planner_cluster::restart(uint32_t host) { start(host); }

void planner_cluster::suspend(uint32_t host, int milliseconds)
{
    hosts[host - 1].suspendedUntil = now + std::chrono::milliseconds { milliseconds };
}

void planner_cluster::kill(uint32_t server)
{
    for (auto& value : servers[service])
        if (value.id.value == server)
            value.condition = server_condition::Dead;
    std::erase_if(flows, [&](auto const& item) { return item.second.server.value == server; });
}

uint32_t planner_cluster::plannerCount() const
{
    return static_cast<uint32_t>(std::count_if(hosts.begin(), hosts.end(),
        [](cluster_host const& host) { return host.isRunning && host.coordinator->isPlanning(); }));
}

uint32_t planner_cluster::settledBuckets() const
{
    uint32_t result = 0;
    auto const& table = hosts[0].coordinator->table(service);
    for (uint32_t index = 0; index < bucketCount; ++index)
        result += table.at(index).phase == bucket_phase::Stable && table.at(index).stamp.counter > 1 ? 1 : 0;
    return result;
}

bool planner_cluster::isActive(uint32_t host) const
{
    return hosts[host - 1].isRunning && hosts[host - 1].suspendedUntil <= now;
}

bool planner_cluster::isAlive(server_id server) const
{
    return std::any_of(servers.at(service).begin(), servers.at(service).end(),
        [&](planner_server const& value) { return value.id == server && value.condition != server_condition::Dead; });
}

void planner_cluster::send(uint32_t sender, uint32_t receiver, std::variant<peer_heartbeat, table_message> content)
{
    if (!isConnected(sender, receiver) || std::uniform_real_distribution<>()(random) < dropProbability)
        return;
    auto const delay = std::chrono::milliseconds { 1 + random() % 80 };
    // Messages of one connection arrive in order.
    auto& arrival = m_lastArrival[{ sender, receiver }];
    arrival = std::max(arrival, now + delay);
    m_queuedMessages.push_back({ arrival, sender, receiver, hosts[sender - 1].peer, std::move(content) });
}

void planner_cluster::sendAll(uint32_t sender, std::vector<addressed_message> const& messages)
{
    for (auto const& message : messages)
        send(sender, message.receiver.value, message.message);
}

void planner_cluster::deliver()
{
    auto const isDue = [&](queued_message const& value) { return value.arrival <= now && isActive(value.receiver); };
    std::vector<queued_message> due;
    std::copy_if(m_queuedMessages.begin(), m_queuedMessages.end(), std::back_inserter(due), isDue);
    std::erase_if(m_queuedMessages, isDue);
    std::stable_sort(due.begin(), due.end(),
        [](queued_message const& first, queued_message const& second) { return first.arrival < second.arrival; });
    for (auto const& value : due) {
        auto& host = hosts[value.receiver - 1];
        if (auto const* heartbeat = std::get_if<peer_heartbeat>(&value.content))
            (void)host.view->receive(*heartbeat, now);
        else
            sendAll(value.receiver, host.coordinator->receive(value.from, std::get<table_message>(value.content), now));
    }
}

void planner_cluster::run(int milliseconds)
{
    for (auto const end = now + std::chrono::milliseconds { milliseconds }; now < end;) {
        now += tick;
        deliver();
        for (auto& host : hosts) {
            if (isActive(host.peer.host.value))
                stepHost(host);
        }
        sendSegments();
    }
}

void planner_cluster::stepHost(cluster_host& host)
{
    auto const number = host.peer.host.value;
    host.view->advance(now);
    sendAll(number, host.coordinator->step(servers, host.intent, now));
    if (now.time_since_epoch() % (2 * tick) == duration::zero()) {
        auto const heartbeat
            = host.view->heartbeat(host.intent, host.coordinator->acknowledgement(), host.coordinator->announcements());
        for (uint32_t other = 1; other <= hosts.size(); ++other)
            if (other != number)
                send(number, other, heartbeat);
    }
    if (now.time_since_epoch() % std::chrono::milliseconds { 500 } == duration::zero())
        reportRoles(host);
    for (auto const leavingHost : host.coordinator->mayLeave())
        hosts[leavingHost.value - 1].isRunning = false;
}

bool planner_cluster::knowsWitness(uint32_t host, uint32_t index, witness const& member) const
{
    auto const& table = hosts[host - 1].coordinator->table(service);
    auto const& set = table.witnessesOf(table.at(index));
    for (uint8_t group = 0; group < set.count; ++group) {
        auto const& members = set.groups[group].witnesses;
        if (std::find(members.begin(), members.end(), member) != members.end())
            return true;
    }
    return false;
}

void planner_cluster::reportRoles(cluster_host& host)
{
    auto const& table = host.coordinator->table(service);
    for (uint32_t index = 0; index < bucketCount; ++index) {
        auto const& value = table.at(index);
        if (value.phase == bucket_phase::Stable) {
            host.observed.erase(index);
            continue;
        }
        // The idle timeout starts when base or current changes.
        if (auto& observed = host.observed[index]; observed != std::pair { value.current, value.base }) {
            observed = { value.current, value.base };
            host.baseUsedAt[index] = now;
        }
        auto const& set = table.witnessesOf(value);
        for (uint8_t group = 0; group < set.count; ++group) {
            auto const& members = set.groups[group];
            for (uint8_t position = 0; position < members.count; ++position) {
                auto const& member = members.witnesses[position];
                if (member.host != host.peer.host || member.incarnation != host.peer.incarnation)
                    continue;
                if (member.state == witness_state::Complete) {
                    bool const hasOtherServer
                        = std::any_of(host.entries.begin(), host.entries.end(), [&](auto const& entry) {
                              return bucketOf(entry.first) == index && entry.second != value.current;
                          });
                    if (!hasOtherServer && now - host.baseUsedAt[index] > idleTimeout)
                        sendAll(host.peer.host.value,
                            host.coordinator->report(settled_report { service, host.peer, value.stamp, { index } }));
                    host.fillingSince.erase(index);
                    continue;
                }
                // The source must know this host as a filling witness, so that it passes all later flows on to it.
                if (!host.fillingSince.contains(index)) {
                    host.fillingSince[index] = now;
                } else if (auto const source = firstLive(host, members);
                           source && isActive(*source) && knowsWitness(*source, index, member)) {
                    for (auto const& [id, server] : hosts[*source - 1].entries)
                        if (bucketOf(id) == index)
                            host.entries.emplace(id, server);
                    sendAll(host.peer.host.value,
                        host.coordinator->report(filled_report { service, host.peer, { index } }));
                }
            }
        }
    }
}

uint32_t planner_cluster::randomHost() { return 1 + static_cast<uint32_t>(random() % hosts.size()); }

void planner_cluster::openFlows(int count)
{
    for (int number = 0; number < count; ++number) {
        uint64_t const id = m_nextFlow++;
        auto const host = randomHost();
        if (!isActive(host))
            continue;
        auto const server = route(host, { id, true, {} }, 0);
        if (!server || !isAlive(*server))
            continue;
        flows[id] = { id, *server };
        ++opened;
    }
}

void planner_cluster::sendSegments()
{
    std::vector<uint64_t> closed;
    for (auto const& [id, value] : flows) {
        if (random() % 20 == 0) {
            auto const host = randomHost();
            auto const server = isActive(host) ? route(host, { id, false, {} }, 0) : std::nullopt;
            if (server && *server != value.server) {
                ++misdelivered;
                closed.push_back(id);
            }
        } else if (random() % 400 == 0) {
            closed.push_back(id);
        }
    }
    for (auto const id : closed) {
        flows.erase(id);
        for (auto& host : hosts)
            host.entries.erase(id);
    }
}

std::optional<uint32_t> planner_cluster::firstLive(cluster_host const& host, witness_group const& group) const
{
    auto const live = host.view->livePeers();
    for (uint8_t position = 0; position < group.count; ++position) {
        auto const& member = group.witnesses[position];
        routed_peer const peer { member.host, member.incarnation };
        if (member.state == witness_state::Complete
            && (peer == host.peer || std::find(live.begin(), live.end(), peer) != live.end()))
            return member.host.value;
    }
    return std::nullopt;
}

std::optional<server_id> planner_cluster::record(
    uint32_t number, packet const& value, witness_group const& group, server_id current)
{
    auto const& own = hosts[number - 1];
    auto const known = own.entries.find(value.flow);
    auto const server = known != own.entries.end() ? known->second : current;
    auto const live = own.view->livePeers();
    std::vector<uint32_t> chain { number };
    for (uint8_t position = 0; position < group.count; ++position) {
        routed_peer const peer { group.witnesses[position].host, group.witnesses[position].incarnation };
        if (std::find(live.begin(), live.end(), peer) != live.end())
            chain.push_back(peer.host.value);
    }
    for (auto const member : chain) {
        if (!isActive(member) || !isConnected(number, member))
            return std::nullopt;
        hosts[member - 1].entries[value.flow] = server;
    }
    return server;
}

std::optional<server_id> planner_cluster::route(uint32_t number, packet value, int hops)
{
    if (hops > 4 || !isActive(number))
        return std::nullopt;
    auto& host = hosts[number - 1];
    auto const relay = [&](uint32_t target) -> std::optional<server_id> {
        return isConnected(number, target) ? route(target, value, hops + 1) : std::nullopt;
    };
    if (host.view->state() == synchronisation::Unsynchronised) {
        for (auto const& heartbeat : host.view->liveHeartbeats())
            if (heartbeat.state == synchronisation::Synchronised
                && !value.visited.contains(heartbeat.sender.host.value))
                return relay(heartbeat.sender.host.value);
        return std::nullopt;
    }
    auto const& table = host.coordinator->table(service);
    auto const& state = table.at(bucketOf(value.flow));
    if (state.phase == bucket_phase::Stable)
        return state.current == noServer ? std::nullopt : std::optional(state.current);
    auto const& set = table.witnessesOf(state);
    if (value.isSyn) {
        auto const primary = firstLive(host, set.groups[0]);
        if (!primary)
            return std::nullopt;
        return *primary == number ? record(number, value, set.groups[0], state.current) : relay(*primary);
    }
    if (auto const entry = host.entries.find(value.flow); entry != host.entries.end())
        return entry->second;
    value.visited.insert(number);
    for (uint8_t group = 0; group < set.count; ++group) {
        auto const& members = set.groups[group];
        bool const wasVisited = std::any_of(
            members.witnesses.begin(), members.witnesses.begin() + members.count, [&](witness const& member) {
                return member.state == witness_state::Complete && value.visited.contains(member.host.value);
            });
        auto const target = firstLive(host, members);
        if (!wasVisited && target)
            return relay(*target);
    }
    if (state.base == noServer)
        return std::nullopt;
    if (state.base != state.current)
        host.baseUsedAt[bucketOf(value.flow)] = now;
    return state.base;
}

size_t planner_cluster::digestCount() const
{
    std::set<uint64_t> digests;
    for (auto const& host : hosts) {
        if (host.isRunning)
            digests.insert(host.coordinator->table(service).digest());
    }
    return digests.size();
}

void planner_cluster::checkConvergence()
{
    partition.clear();
    dropProbability = 0;
    for (int second = 0; second < 12; ++second)
        run(1000);
    BOOST_TEST(plannerCount() == 1u);
    for (auto& host : hosts) {
        if (!host.isRunning)
            continue;
        BOOST_CHECK(host.view->state() == synchronisation::Synchronised);
        std::map<server_id, uint32_t> counts;
        for (uint32_t index = 0; index < bucketCount; ++index)
            ++counts[host.coordinator->table(service).at(index).current];
        size_t accepting = 0;
        for (auto const& server : servers[service])
            accepting += server.condition == server_condition::Accepting ? 1 : 0;
        BOOST_TEST(counts.size() == accepting);
        for (auto const& [server, count] : counts)
            BOOST_TEST(count <= bucketCount / accepting + 1);
    }
    // A delta that settles buckets may be in flight at any time; it arrives within the targeted 2 s.
    for (int wait = 0; wait < 40 && digestCount() > 1; ++wait)
        run(50);
    BOOST_TEST(digestCount() == 1u);
    int wrong = 0;
    for (auto const& [id, value] : flows)
        for (auto const& host : hosts)
            if (host.isRunning && route(host.peer.host.value, { id, false, {} }, 0) != value.server)
                ++wrong;
    BOOST_TEST(wrong == 0);
}

} // namespace bilberryyard
