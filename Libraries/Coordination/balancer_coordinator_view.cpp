// The parts of balancer_coordinator that evaluate the backend servers and build the view for the packet thread.
#include <Coordination/balancer_coordinator.h>

#include <algorithm>

namespace bilberryyard {

namespace {

    constexpr duration evaluationInterval = std::chrono::milliseconds { 250 };
    // A leaving server must get no new flows after 3 s, and its announcement takes up to 0.5 s to reach every host.
    constexpr duration leavingGracePeriod = std::chrono::milliseconds { 2'000 };

} // namespace

void balancer_coordinator::observe(std::vector<handshake_statistics> const& statistics, monotonic_time now)
{
    for (auto const& counted : statistics) {
        auto const* entry = m_directory.find(counted.server);
        if (!entry)
            continue;
        auto const evaluator = m_evaluators.find(entry->announcement.key.service);
        if (evaluator == m_evaluators.end())
            continue;
        auto canonical = counted;
        canonical.server = entry->id;
        evaluator->second.observe(canonical, now);
    }
}

void balancer_coordinator::evaluateServers(monotonic_time now)
{
    if (m_evaluatedAt && now - *m_evaluatedAt < evaluationInterval)
        return;
    m_evaluatedAt = now;
    recordLeavingServers(now);
    std::map<service_id, std::set<server_id>> serving;
    for (auto const& entry : m_directory.entries()) {
        auto const& announcement = entry.announcement;
        auto const evaluator = m_evaluators.find(announcement.key.service);
        if (evaluator == m_evaluators.end() || announcement.state != server_state::Serving
            || !m_directory.isLeased(entry, now))
            continue;
        serving[announcement.key.service].insert(entry.id);
        auto& evaluatedReport = m_evaluatedReports[entry.id];
        if (evaluatedReport == entry.stamp)
            continue;
        evaluatedReport = entry.stamp;
        evaluator->second.report(entry.id, announcement, now);
    }
    m_evaluations.clear();
    for (auto& [service, evaluator] : m_evaluators)
        m_evaluations.merge(evaluator.evaluate(serving[service], now));
}

std::map<service_id, std::vector<planner_server>> balancer_coordinator::plannerServers(monotonic_time now) const
{
    std::map<service_id, std::vector<planner_server>> result;
    for (auto const& service : m_configuration.services)
        result[service.id] = {};
    for (auto const& entry : m_directory.entries()) {
        auto const* service = findService(entry.announcement.key.service);
        if (!service)
            continue;
        auto const* exception = overrideOf(entry);
        auto const evaluation = m_evaluations.find(entry.id);
        auto const health = evaluation == m_evaluations.end() ? health_evaluation {} : evaluation->second;
        auto const weight = service->weight * (exception ? exception->weight : 1.0) * health.weight;
        result[service->id].push_back({ entry.id, conditionOf(entry, now), weight, connectionLimitOf(entry),
            entry.announcement.load.openConnections, std::max(entry.servingSince, health.returnedAt) });
    }
    return result;
}

routed_service const* balancer_coordinator::findService(service_id id) const
{
    auto const& services = m_configuration.services;
    auto const found = std::find_if(
        services.begin(), services.end(), [id](routed_service const& service) { return service.id == id; });
    return found == services.end() ? nullptr : &*found;
}

server_override const* balancer_coordinator::overrideOf(directory_entry const& entry) const
{
    auto const& key = entry.announcement.key;
    auto const found = m_configuration.serverOverrides.find({ key.address, key.port });
    return found == m_configuration.serverOverrides.end() ? nullptr : &found->second;
}

uint32_t balancer_coordinator::connectionLimitOf(directory_entry const& entry) const
{
    auto limit = entry.announcement.connectionLimit;
    auto const lowerLimitTo = [&limit](uint32_t bound) {
        if (bound != 0 && (limit == 0 || bound < limit))
            limit = bound;
    };
    if (auto const* service = findService(entry.announcement.key.service))
        lowerLimitTo(service->connectionLimit);
    if (auto const* exception = overrideOf(entry))
        lowerLimitTo(exception->connectionLimit);
    return limit;
}

server_condition balancer_coordinator::conditionOf(directory_entry const& entry, monotonic_time now) const
{
    auto zones = m_peers->reachableZones();
    // When every entry host is live, no zone is partitioned, so an unresponsive server has failed.
    if (m_peers->isEveryHostLive())
        zones.insert(entry.announcement.zone);
    auto const condition = m_directory.conditionOf(entry, zones, now);
    if (condition != server_condition::Accepting)
        return condition;
    auto const* exception = overrideOf(entry);
    auto const evaluation = m_evaluations.find(entry.id);
    bool const isEjected = evaluation != m_evaluations.end() && evaluation->second.isEjected;
    if ((exception && exception->drain) || isEjected)
        return server_condition::Closed;
    return condition;
}

void balancer_coordinator::recordLeavingServers(monotonic_time now)
{
    for (auto const& entry : m_directory.entries()) {
        auto const* exception = overrideOf(entry);
        bool const isLeaving = entry.announcement.state == server_state::Draining || (exception && exception->drain);
        if (isLeaving)
            m_leavingSince.try_emplace(entry.id, now);
        else
            m_leavingSince.erase(entry.id);
    }
}

new_flow_policy balancer_coordinator::newFlowPolicyOf(directory_entry const& entry, monotonic_time now) const
{
    auto const since = m_leavingSince.find(entry.id);
    bool const hasGracePeriodEnded = since != m_leavingSince.end() && now - since->second >= leavingGracePeriod;
    return hasGracePeriodEnded ? new_flow_policy::Refused : new_flow_policy::Allowed;
}

std::shared_ptr<routing_view> balancer_coordinator::buildRoutingView(monotonic_time now) const
{
    auto view = std::make_shared<routing_view>();
    view->self = m_settings.self;
    view->state = m_peers->state();
    // The gap after which peer_view considers this process suspended. The packet thread may be the first to run after a
    // suspension, so it must detect the gap itself.
    view->synchronisedUntil = now + m_settings.peers.lease;
    view->peers = m_peers->livePeers();
    view->hashSeed = m_settings.hashSeed;
    view->flowIdleTimeout = m_configuration.flowIdleTimeout;
    view->datagramIdleTimeout = m_configuration.datagramIdleTimeout;
    view->tables = m_tables;
    for (auto const& service : m_configuration.services) {
        for (auto const& address : service.addresses)
            view->endpoints.push_back({ address, service.port, service.protocol, service.id });
    }
    for (auto const& [identifier, key] : m_directory.owners()) {
        auto const* entry = m_directory.find(identifier);
        if (!entry)
            continue;
        view->servers[identifier] = { identifier, conditionOf(*entry, now), connectionLimitOf(*entry),
            entry->announcement.load.openConnections, entry->stamp.sequence, entry->announcement.key.service,
            newFlowPolicyOf(*entry, now) };
    }
    return view;
}

void balancer_coordinator::refreshView(monotonic_time now)
{
    auto const routing = buildRoutingView(now);
    if (m_view) {
        auto const& old = *m_view->routing;
        bool const isRecent = routing->synchronisedUntil - old.synchronisedUntil < m_settings.peers.lease / 4;
        if (isRecent && old.state == routing->state && old.peers == routing->peers
            && old.endpoints == routing->endpoints && old.tables == routing->tables && old.servers == routing->servers
            && old.flowIdleTimeout == routing->flowIdleTimeout
            && old.datagramIdleTimeout == routing->datagramIdleTimeout)
            return;
    }
    auto view = std::make_shared<forwarding_view>();
    view->routing = routing;
    for (auto const& [identifier, key] : m_directory.owners())
        view->servers[identifier] = { key.address, key.port };
    m_view = view;
    m_newView = view;
}

std::vector<peer_status> balancer_coordinator::hosts(monotonic_time now) const
{
    std::vector<peer_status> rows { { m_settings.self, m_settings.zone, m_peers->state(), m_intent,
        m_configuration.revision, duration::zero() } };
    for (auto const& heartbeat : m_peers->liveHeartbeats()) {
        auto const host = heartbeat.sender.host;
        rows.push_back({ heartbeat.sender, heartbeat.zone, heartbeat.state, heartbeat.intent, m_peerRevisions.at(host),
            now - m_peersLastSeenAt.at(host) });
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
