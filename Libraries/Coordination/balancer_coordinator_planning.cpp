// The planner's side of balancer_coordinator, and the view that follows from its state.
#include <Coordination/balancer_coordinator.h>

#include <Coordination/table_transfer.h>
#include <algorithm>

namespace bilberryyard {

void balancer_coordinator::updatePlannerRole(monotonic_time now)
{
    auto const planner = m_peers.planner();
    if (planner == m_settings.self) {
        if (!m_planner)
            startPlanning();
        return;
    }
    if (m_planner) {
        m_planner.reset();
        m_follower.unfollow();
    }
    if (planner && (m_follower.followed() != planner || m_peers.state() == synchronisation::Unsynchronised))
        followPlanner(*planner, now);
}

void balancer_coordinator::startPlanning()
{
    auto settings = m_configuration.planner;
    auto planner = table_planner::create(settings, m_settings.self);
    if (!planner.ok())
        planner = table_planner::create({}, m_settings.self);
    m_planner = *std::move(planner);
    for (auto const& service : m_configuration.services) {
        auto const table = m_follower.tables().find(service.id);
        if (table == m_follower.tables().end())
            continue;
        auto const traffic = service.protocol == ip_protocol::Udp ? service_traffic::Datagram : service_traffic::Stream;
        // The follower holds one table a service, so no service is added twice.
        m_planner->addService(traffic, table->second).IgnoreError();
        m_follower.adopt(m_settings.self, *m_planner->replicated(service.id));
    }
}

void balancer_coordinator::followPlanner(routed_peer planner, monotonic_time now)
{
    if (m_requestAt && now - *m_requestAt < m_settings.requestInterval)
        return;
    m_requestAt = now;
    send(planner.host, m_follower.request(m_peers.epoch()));
}

void balancer_coordinator::runPlanner(monotonic_time now)
{
    auto const output = m_planner->step(plannerInput(now));
    for (auto const& delta : output.deltas) {
        for (auto const& peer : m_peers.livePeers())
            send(peer.host, delta_message { m_settings.self, delta });
    }
    bool isChanged = !output.deltas.empty();
    for (auto const& service : m_configuration.services) {
        auto const table = m_planner->replicated(service.id);
        auto const held = m_follower.tables().find(service.id);
        if (!table || (held != m_follower.tables().end() && held->second.table.version() == table->table.version()))
            continue;
        m_follower.adopt(m_settings.self, *table);
        isChanged = true;
    }
    if (isChanged)
        tablesChanged();
    for (auto const host : output.mayLeave) {
        if (host == m_settings.self.host)
            m_mayLeave = true;
        else
            send(host, leave_permission {});
    }
}

planner_input balancer_coordinator::plannerInput(monotonic_time now) const
{
    planner_input input { now, m_settings.self, {}, m_settings.entryHosts, {} };
    planner_host self { m_settings.self, m_settings.zone, m_intent == host_intent::Leaving, {} };
    for (auto const& [service, table] : m_follower.tables())
        self.acknowledged[service] = table.table.version();
    input.hosts.push_back(self);
    for (auto const& heartbeat : m_peers.liveHeartbeats()) {
        planner_host host { heartbeat.sender, heartbeat.zone, heartbeat.intent == host_intent::Leaving, {} };
        if (heartbeat.acknowledgement.planner == m_settings.self)
            host.acknowledged = heartbeat.acknowledgement.versions;
        input.hosts.push_back(std::move(host));
    }
    for (auto const& service : m_configuration.services)
        input.servers[service.id] = {};
    for (auto const& entry : m_directory.entries()) {
        auto const* service = findService(entry.announcement.key.service);
        if (!service)
            continue;
        auto const* exception = overrideOf(entry);
        auto const health = m_healthWeights.find(entry.id);
        auto const weight = service->weight * (exception ? exception->weight : 1.0)
            * (health == m_healthWeights.end() ? 1.0 : health->second);
        input.servers[service->id].push_back({ entry.id, conditionOf(entry, now), weight, limitOf(entry),
            entry.announcement.load.openConnections, entry.servingSince });
    }
    return input;
}

coordinated_service const* balancer_coordinator::findService(service_id id) const
{
    auto const& services = m_configuration.services;
    auto const found = std::find_if(
        services.begin(), services.end(), [id](coordinated_service const& service) { return service.id == id; });
    return found == services.end() ? nullptr : &*found;
}

server_override const* balancer_coordinator::overrideOf(directory_entry const& entry) const
{
    auto const& key = entry.announcement.key;
    auto const found = m_configuration.serverOverrides.find({ key.address, key.port });
    return found == m_configuration.serverOverrides.end() ? nullptr : &found->second;
}

uint32_t balancer_coordinator::limitOf(directory_entry const& entry) const
{
    auto limit = entry.announcement.connectionLimit;
    auto const narrow = [&limit](uint32_t bound) {
        if (bound != 0 && (limit == 0 || bound < limit))
            limit = bound;
    };
    if (auto const* service = findService(entry.announcement.key.service))
        narrow(service->connectionLimit);
    if (auto const* exception = overrideOf(entry))
        narrow(exception->connectionLimit);
    return limit;
}

server_condition balancer_coordinator::conditionOf(directory_entry const& entry, monotonic_time now) const
{
    auto zones = m_peers.reachableZones();
    // With every entry host in the view no zone is cut off, so silence of a server means that it failed.
    if (m_peers.isFull())
        zones.insert(entry.announcement.zone);
    auto const condition = m_directory.conditionOf(entry, zones, now);
    if (condition != server_condition::Accepting)
        return condition;
    auto const* exception = overrideOf(entry);
    if ((exception && exception->drain) || m_ejected.contains(entry.id))
        return server_condition::Closed;
    return condition;
}

std::shared_ptr<routing_view> balancer_coordinator::buildRoutingView(monotonic_time now) const
{
    auto view = std::make_shared<routing_view>();
    view->self = m_settings.self;
    view->state = m_peers.state();
    view->peers = m_peers.livePeers();
    view->hashSeed = m_settings.hashSeed;
    view->flowIdleTimeout = m_configuration.flowIdleTimeout;
    view->datagramIdleTimeout = m_configuration.datagramIdleTimeout;
    view->tables = m_follower.sharedTables();
    for (auto const& service : m_configuration.services) {
        for (auto const& address : service.addresses)
            view->endpoints.push_back({ address, service.port, service.protocol, service.id });
    }
    for (auto const& [number, key] : m_directory.owners()) {
        auto const* entry = m_directory.find(number);
        if (!entry)
            continue;
        view->servers[number] = { number, conditionOf(*entry, now), limitOf(*entry),
            entry->announcement.load.openConnections, entry->stamp.sequence };
    }
    return view;
}

void balancer_coordinator::refreshView(monotonic_time now)
{
    auto const routing = buildRoutingView(now);
    if (m_view) {
        auto const& old = *m_view->routing;
        if (old.state == routing->state && old.peers == routing->peers && old.endpoints == routing->endpoints
            && old.tables == routing->tables && old.servers == routing->servers
            && old.flowIdleTimeout == routing->flowIdleTimeout
            && old.datagramIdleTimeout == routing->datagramIdleTimeout)
            return;
    }
    auto view = std::make_shared<forwarding_view>();
    view->routing = routing;
    for (auto const& [number, key] : m_directory.owners())
        view->servers[number] = { key.address, key.port };
    m_view = view;
    m_newView = view;
}

std::vector<host_status> balancer_coordinator::hosts(monotonic_time now) const
{
    std::vector<host_status> rows { { m_settings.self, m_settings.zone, m_peers.state(), m_intent,
        m_configuration.revision, duration::zero() } };
    for (auto const& heartbeat : m_peers.liveHeartbeats()) {
        auto const host = heartbeat.sender.host;
        rows.push_back({ heartbeat.sender, heartbeat.zone, heartbeat.state, heartbeat.intent, m_peerRevisions.at(host),
            now - m_heardAt.at(host) });
    }
    return rows;
}

std::vector<server_status> balancer_coordinator::servers(monotonic_time now) const
{
    std::vector<server_status> rows;
    for (auto const& entry : m_directory.entries())
        rows.push_back({ entry, conditionOf(entry, now) });
    return rows;
}

} // namespace bilberryyard
