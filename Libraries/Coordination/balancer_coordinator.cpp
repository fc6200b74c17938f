#include <Coordination/balancer_coordinator.h>

#include <Base/error_kind.h>
#include <Coordination/table_transfer.h>
#include <Routing/delta_builder.h>
#include <algorithm>

namespace bilberryyard {

absl::StatusOr<balancer_coordinator> balancer_coordinator::create(
    coordinator_settings const& settings, monotonic_time now)
{
    auto directory = server_directory::create(settings.self, settings.directory);
    if (!directory.ok())
        return directory.status();
    return balancer_coordinator(settings, *std::move(directory), now);
}

balancer_coordinator::balancer_coordinator(
    coordinator_settings const& settings, server_directory directory, monotonic_time now)
    : m_settings(settings)
    , m_directory(std::move(directory))
    , m_peers(settings.self, settings.zone, settings.peers, now)
    , m_filler(settings)
{
    m_peers.setConfiguredHosts(settings.entryHosts);
}

void balancer_coordinator::configure(coordinated_configuration const& configuration, monotonic_time now)
{
    if (configuration.revision < m_configuration.revision)
        return;
    m_configuration = configuration;
    std::map<service_id, uint32_t> bucketCounts;
    for (auto const& service : configuration.services)
        bucketCounts[service.id] = service.bucketCount;
    for (auto const& [service, table] : m_follower.tables()) {
        if (bucketCounts.contains(service))
            continue;
        m_filler.remove(service);
        m_scanners.erase(service);
    }
    m_follower.setServices(bucketCounts);
    if (m_planner)
        startPlanning();
    tablesChanged();
    sendHeartbeats(now);
}

absl::StatusOr<server_id> balancer_coordinator::announce(server_announcement const& announcement, monotonic_time now)
{
    auto const known = m_directory.entries();
    auto const before = std::find_if(known.begin(), known.end(),
        [&](directory_entry const& entry) { return entry.announcement.key == announcement.key; });
    bool const isUrgent = before == known.end() || before->announcement.state != announcement.state;
    auto id = m_directory.announce(announcement, now);
    // Peers must stop sending new flows to a leaving server within 3 s, so a change of state is not held back.
    if (id.ok() && isUrgent)
        sendRecords(now);
    return id;
}

absl::Status balancer_coordinator::receive(coordination_message const& message, monotonic_time now)
{
    m_peers.advance(now);
    return std::visit([&](auto const& body) { return handle(message.sender, body, now); }, message.body);
}

void balancer_coordinator::receive(flow_result const& result, monotonic_time)
{
    if (auto const* exported = std::get_if<export_result>(&result)) {
        auto const& command = exported->command;
        send(command.receiver, fill_answer { command.service, command.cursor, exported->batch });
        return;
    }
    auto const& settled = std::get<settle_result>(result);
    if (!settled.buckets.empty())
        deliverReport(settled_report { settled.service, m_settings.self, settled.stamp, settled.buckets });
}

void balancer_coordinator::setHealth(std::map<server_id, double> weights, std::set<server_id> ejected)
{
    m_healthWeights = std::move(weights);
    m_ejected = std::move(ejected);
}

void balancer_coordinator::step(monotonic_time now)
{
    m_peers.advance(now);
    m_directory.expire(now);
    greetNewPeers(now);
    updatePlannerRole(now);
    if (m_planner)
        runPlanner(now);
    for (auto& message : m_filler.step(now))
        m_messages.push_back(std::move(message));
    reportToPlanner(now);
    scanForSettling(now);
    if (!m_heartbeatAt || now - *m_heartbeatAt >= m_settings.heartbeatInterval)
        sendHeartbeats(now);
    if (!m_recordsAt || now - *m_recordsAt >= m_settings.recordInterval)
        sendRecords(now);
    refreshView(now);
}

void balancer_coordinator::send(host_id receiver, decltype(coordination_message::body) body)
{
    m_messages.push_back({ receiver, { m_settings.self, std::move(body) } });
}

void balancer_coordinator::sendHeartbeatTo(host_id receiver)
{
    send(receiver,
        heartbeat_message { m_peers.heartbeat(m_intent, m_follower.acknowledgement()), m_configuration.revision });
}

void balancer_coordinator::sendHeartbeats(monotonic_time now)
{
    m_heartbeatAt = now;
    for (auto const host : m_settings.entryHosts) {
        if (host != m_settings.self.host)
            sendHeartbeatTo(host);
    }
}

void balancer_coordinator::sendRecords(monotonic_time now)
{
    m_recordsAt = now;
    auto const records = m_directory.recordsSince(m_sentRecordCounter, record_scope::ReceivedHere, now);
    m_sentRecordCounter = m_directory.changeCounter();
    if (records.empty())
        return;
    for (auto const& peer : m_peers.livePeers())
        send(peer.host, records_message { records });
}

void balancer_coordinator::greetNewPeers(monotonic_time now)
{
    auto const live = m_peers.livePeers();
    for (auto const& peer : live) {
        if (m_greeted.contains(peer))
            continue;
        auto records = m_directory.recordsSince(0, record_scope::All, now);
        if (!records.empty())
            send(peer.host, records_message { std::move(records) });
    }
    m_greeted = { live.begin(), live.end() };
}

absl::Status balancer_coordinator::handle(routed_peer sender, heartbeat_message const& message, monotonic_time now)
{
    if (message.heartbeat.sender != sender)
        return makeError(error_kind::InvalidArgument, "heartbeat of another host than the sender");
    if (auto const status = m_peers.receive(message.heartbeat, now); !status.ok())
        return status;
    m_peerRevisions[sender.host] = message.configurationRevision;
    m_heardAt[sender.host] = now;
    return absl::OkStatus();
}

absl::Status balancer_coordinator::handle(routed_peer, records_message const& message, monotonic_time now)
{
    for (auto const& record : message.records) {
        if (auto const status = m_directory.merge(record, now); !status.ok())
            return status;
    }
    return absl::OkStatus();
}

absl::Status balancer_coordinator::handle(routed_peer sender, delta_message const& message, monotonic_time)
{
    if (message.planner != sender)
        return makeError(error_kind::InvalidArgument, "table change of another host than the sender");
    if (m_follower.apply(message) != table_update::Changed)
        return absl::OkStatus();
    tablesChanged();
    sendHeartbeatTo(sender.host);
    return absl::OkStatus();
}

absl::Status balancer_coordinator::handle(routed_peer sender, table_request const& message, monotonic_time now)
{
    if (!m_planner)
        return absl::OkStatus();
    table_answer answer { m_settings.self, message.epoch, {}, {}, {} };
    for (auto const& held : message.held) {
        auto const own = m_planner->replicated(held.service);
        if (!own)
            continue;
        if (!own->lineage.covers(held.lineage))
            answer.wanted.push_back(held.service);
        else if (own->table.digest() == held.digest)
            answer.confirmed.push_back({ held.service, own->table.version(), own->lineage });
        else
            answer.tables.push_back(toTransfer(*own));
    }
    // Tables are only worth their bytes in a complete answer.
    if (!answer.wanted.empty())
        answer.tables.clear();
    uint64_t bytes = 0;
    for (auto const& table : answer.tables)
        bytes += estimateDeltaBytes(table.snapshot);
    m_planner->charge(bytes, now);
    send(sender.host, std::move(answer));
    return absl::OkStatus();
}

absl::Status balancer_coordinator::handle(routed_peer sender, table_answer const& message, monotonic_time now)
{
    if (message.planner != sender)
        return makeError(error_kind::InvalidArgument, "table answer of another host than the sender");
    if (m_peers.planner() != sender || m_planner)
        return absl::OkStatus();
    if (!message.wanted.empty()) {
        send(sender.host, m_follower.offer(message.wanted));
        m_requestAt.reset();
        return absl::OkStatus();
    }
    if (message.epoch != m_peers.epoch())
        return absl::OkStatus();
    m_follower.apply(message);
    m_peers.tablesReceived(sender, message.epoch, now);
    tablesChanged();
    sendHeartbeatTo(sender.host);
    return absl::OkStatus();
}

absl::Status balancer_coordinator::handle(routed_peer, table_offer const& message, monotonic_time)
{
    if (!m_planner)
        return absl::OkStatus();
    for (auto const& transfer : message.tables) {
        auto const table = fromTransfer(transfer);
        if (!table.ok())
            return table.status();
        if (auto const status = m_planner->offer(*table); !status.ok())
            return status;
    }
    return absl::OkStatus();
}

absl::Status balancer_coordinator::handle(routed_peer sender, fill_request const& message, monotonic_time)
{
    auto const table = m_follower.tables().find(message.service);
    if (table == m_follower.tables().end())
        return makeError(error_kind::NotFound, "fill request for an unknown service");
    auto const count = table->second.table.bucketCount();
    // This host must know the requester's role: from then on new entries reach both, and the export has the rest.
    for (auto const index : message.buckets) {
        if (index >= count)
            return makeError(error_kind::InvalidArgument, "fill request for a bucket that does not exist");
        auto const& value = table->second.table.at(index);
        if (value.phase != bucket_phase::Tracked)
            continue;
        auto const& set = table->second.table.witnessesOf(value);
        bool const isKnown = std::any_of(set.groups.begin(), set.groups.begin() + set.count, [&](auto const& group) {
            return std::any_of(group.witnesses.begin(), group.witnesses.begin() + group.count, [&](auto const& entry) {
                return entry.host == sender.host && entry.incarnation == sender.incarnation;
            });
        });
        if (!isKnown)
            return absl::OkStatus();
    }
    m_commands.push_back(
        export_command { sender.host, message.service, message.buckets, message.cursor, m_settings.fillBatch });
    return absl::OkStatus();
}

absl::Status balancer_coordinator::handle(routed_peer sender, fill_answer const& message, monotonic_time now)
{
    if (auto import = m_filler.receive(sender.host, message, now))
        m_commands.push_back(*std::move(import));
    return absl::OkStatus();
}

absl::Status balancer_coordinator::handle(routed_peer sender, settled_report const& message, monotonic_time)
{
    if (message.reporter != sender)
        return makeError(error_kind::InvalidArgument, "settled report of another host than the sender");
    if (m_planner)
        m_planner->settled(message);
    return absl::OkStatus();
}

absl::Status balancer_coordinator::handle(routed_peer sender, filled_report const& message, monotonic_time)
{
    if (message.reporter != sender)
        return makeError(error_kind::InvalidArgument, "filled report of another host than the sender");
    if (m_planner)
        m_planner->filled(message);
    return absl::OkStatus();
}

absl::Status balancer_coordinator::handle(routed_peer sender, leave_permission const&, monotonic_time)
{
    if (m_intent == host_intent::Leaving && m_peers.planner() == sender)
        m_mayLeave = true;
    return absl::OkStatus();
}

template <typename Report>
void balancer_coordinator::deliverReport(Report const& report)
{
    auto const planner = m_peers.planner();
    if (!planner)
        return;
    if (*planner != m_settings.self) {
        send(planner->host, report);
        return;
    }
    if constexpr (std::is_same_v<Report, settled_report>) {
        if (m_planner)
            m_planner->settled(report);
    } else {
        if (m_planner)
            m_planner->filled(report);
    }
}

void balancer_coordinator::reportToPlanner(monotonic_time now)
{
    for (auto const& report : m_filler.takeFilled(now))
        deliverReport(report);
}

void balancer_coordinator::scanForSettling(monotonic_time now)
{
    for (auto const& service : m_configuration.services) {
        auto const table = m_follower.tables().find(service.id);
        if (service.protocol != ip_protocol::Tcp || table == m_follower.tables().end())
            continue;
        auto& scanner = m_scanners.try_emplace(service.id, m_settings.self, m_settings.settleScan).first->second;
        for (auto& command : scanner.step(table->second.table, m_configuration.flowIdleTimeout, now))
            m_commands.push_back(std::move(command));
    }
}

void balancer_coordinator::tablesChanged()
{
    for (auto const& [service, table] : m_follower.tables())
        m_filler.update(table.table);
}

} // namespace bilberryyard
