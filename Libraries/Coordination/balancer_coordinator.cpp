#include <Coordination/balancer_coordinator.h>

#include <Base/error_kind.h>
#include <algorithm>
#include <string>

namespace bilberryyard {

namespace {

    // Bounds the time for which a peer that missed a full record lacks it.
    constexpr std::chrono::seconds fullRecordInterval { 10 };

} // namespace

absl::StatusOr<balancer_coordinator> balancer_coordinator::create(
    coordinator_settings const& settings, monotonic_time now)
{
    auto directory = server_directory::create(settings.self, settings.directory);
    if (!directory.ok())
        return directory.status();
    auto peers = std::make_unique<peer_view>(settings.self, settings.zone, settings.peers, now);
    peers->setConfiguredHosts(settings.entryHosts);
    auto tables = table_coordinator::create(settings.planner, *peers);
    if (!tables.ok())
        return tables.status();
    return balancer_coordinator(settings, *std::move(directory), std::move(peers), *std::move(tables));
}

balancer_coordinator::balancer_coordinator(coordinator_settings const& settings, server_directory directory,
    std::unique_ptr<peer_view> peers, table_coordinator tableCoordinator)
    : m_settings(settings)
    , m_directory(std::move(directory))
    , m_peers(std::move(peers))
    , m_tableCoordinator(std::move(tableCoordinator))
    , m_filler(settings)
{
}

absl::Status balancer_coordinator::configure(coordinated_configuration const& configuration, monotonic_time now)
{
    if (configuration.revision < m_configuration.revision)
        return absl::OkStatus();
    std::map<service_id, coordinated_service> services;
    for (auto const& service : configuration.services) {
        auto const traffic = service.protocol == ip_protocol::Udp ? service_traffic::Datagram : service_traffic::Stream;
        services[service.id] = { traffic, service.bucketCount };
    }
    if (auto status = m_tableCoordinator.setServices(services); !status.ok())
        return status;
    for (auto const& service : m_configuration.services) {
        if (services.contains(service.id))
            continue;
        m_filler.remove(service.id);
        m_scanners.erase(service.id);
        m_evaluators.erase(service.id);
        m_tables.erase(service.id);
    }
    m_configuration = configuration;
    for (auto const& service : configuration.services) {
        if (m_evaluators.contains(service.id))
            continue;
        auto evaluator = health_evaluator::create(configuration.health);
        if (!evaluator.ok())
            return evaluator.status();
        m_evaluators.emplace(service.id, *std::move(evaluator));
    }
    refreshTables();
    sendHeartbeats(now);
    return absl::OkStatus();
}

absl::StatusOr<server_id> balancer_coordinator::announce(server_announcement const& announcement, monotonic_time now)
{
    auto const* before = m_directory.find(announcement.key);
    bool const isUrgent = !before || before->announcement.state != announcement.state;
    auto id = m_directory.announce(announcement, now);
    // Peers must stop sending new flows to a leaving server within 3 s, so a change of state is sent at once.
    if (id.ok() && isUrgent)
        sendRecords(now);
    return id;
}

absl::Status balancer_coordinator::receive(coordination_message const& message, monotonic_time now)
{
    m_peers->advance(now);
    auto const host = message.sender.host;
    // Heartbeats are exempt, because peer_view::receive() returns more specific errors for these hosts.
    if (!std::holds_alternative<heartbeat_message>(message.body)
        && (host == m_settings.self.host || !m_settings.entryHosts.contains(host)))
        return makeError(error_kind::PermissionDenied,
            "message from host " + std::to_string(host.value) + ", which is not another configured entry host");
    auto status = std::visit([&](auto const& body) { return handle(message.sender, body, now); }, message.body);
    acknowledgeTables();
    return status;
}

void balancer_coordinator::receive(flow_result const& result, monotonic_time now)
{
    if (auto const* exported = std::get_if<export_result>(&result)) {
        auto const& command = exported->command;
        send(command.receiver, fill_response { command.service, command.cursor, exported->batch });
        return;
    }
    if (auto const* counted = std::get_if<handshake_statistics_result>(&result)) {
        observe(counted->statistics, now);
        // Only the planner uses the statistics of all hosts. Sending them to every peer used a fifth of the budget for
        // control traffic.
        auto const planner = m_peers->planner();
        if (planner && *planner != m_settings.self)
            send(planner->host, handshake_statistics_message { counted->statistics });
        return;
    }
    auto const& settled = std::get<settle_result>(result);
    if (!settled.buckets.empty())
        send(m_tableCoordinator.report(
            settled_report { settled.service, m_settings.self, settled.stamp, settled.buckets }));
}

void balancer_coordinator::step(monotonic_time now)
{
    m_peers->advance(now);
    m_directory.expire(now);
    sendRecordsToNewPeers(now);
    evaluateServers(now);
    runTables(now);
    for (auto& message : m_filler.step(now))
        m_messages.push_back(std::move(message));
    for (auto const& report : m_filler.drainFilledReports(now))
        send(m_tableCoordinator.report(report));
    scanForSettling(now);
    if (!m_heartbeatsSentAt || now - *m_heartbeatsSentAt >= m_settings.heartbeatInterval)
        sendHeartbeats(now);
    else
        acknowledgeTables();
    if (!m_recordsSentAt || now - *m_recordsSentAt >= m_settings.recordInterval)
        sendRecords(now);
    refreshView(now);
}

void balancer_coordinator::send(host_id receiver, coordination_message::body_type body)
{
    m_messages.push_back({ receiver, { m_settings.self, std::move(body) } });
}

void balancer_coordinator::send(std::vector<addressed_message> messages)
{
    for (auto& message : messages)
        send(message.receiver, std::move(message.message));
}

void balancer_coordinator::sendHeartbeatTo(host_id receiver)
{
    auto heartbeat
        = m_peers->heartbeat(m_intent, m_tableCoordinator.acknowledgement(), m_tableCoordinator.announcements());
    send(receiver, heartbeat_message { std::move(heartbeat), m_configuration.revision });
}

void balancer_coordinator::sendHeartbeats(monotonic_time now)
{
    m_heartbeatsSentAt = now;
    m_sentAcknowledgement = m_tableCoordinator.acknowledgement();
    for (auto const host : m_settings.entryHosts) {
        if (host != m_settings.self.host)
            sendHeartbeatTo(host);
    }
}

void balancer_coordinator::acknowledgeTables()
{
    // The planner waits for the acknowledgements of all hosts, so this one is sent before the next regular heartbeat.
    auto const acknowledgement = m_tableCoordinator.acknowledgement();
    if (acknowledgement == m_sentAcknowledgement)
        return;
    m_sentAcknowledgement = acknowledgement;
    if (acknowledgement.planner.host != m_settings.self.host && !acknowledgement.versions.empty())
        sendHeartbeatTo(acknowledgement.planner.host);
}

void balancer_coordinator::sendRecords(monotonic_time now)
{
    m_recordsSentAt = now;
    auto const records = m_directory.recordsSince(m_sentRecordCounter, record_scope::ReceivedHere, now);
    m_sentRecordCounter = m_directory.changeCounter();
    if (records.empty())
        return;
    records_message message;
    for (auto const& record : records) {
        if (isRenewal(record, now))
            message.renewals.push_back({ record.id, record.stamp.sequence, record.announcement.load });
        else
            message.records.push_back(record);
    }
    for (auto const& peer : m_peers->livePeers())
        send(peer.host, message);
}

bool balancer_coordinator::isRenewal(server_record const& record, monotonic_time now)
{
    auto announcement = record.announcement;
    announcement.load = {};
    auto const sent = m_sentRecords.find(record.id);
    if (sent != m_sentRecords.end() && sent->second.announcement == announcement
        && now - sent->second.at < fullRecordInterval)
        return true;
    m_sentRecords[record.id] = { announcement, now };
    return false;
}

void balancer_coordinator::sendRecordsToNewPeers(monotonic_time now)
{
    auto const live = m_peers->livePeers();
    for (auto const& peer : live) {
        if (m_peersWithRecords.contains(peer))
            continue;
        auto records = m_directory.recordsSince(0, record_scope::All, now);
        if (!records.empty())
            send(peer.host, records_message { std::move(records), {} });
    }
    m_peersWithRecords = { live.begin(), live.end() };
}

absl::Status balancer_coordinator::handle(routed_peer sender, heartbeat_message const& message, monotonic_time now)
{
    if (message.heartbeat.sender != sender)
        return makeError(error_kind::InvalidArgument, "heartbeat names another host than the sender of the message");
    if (auto status = m_peers->receive(message.heartbeat, now); !status.ok())
        return status;
    m_peerRevisions[sender.host] = message.configurationRevision;
    m_peersLastSeenAt[sender.host] = now;
    return absl::OkStatus();
}

absl::Status balancer_coordinator::handle(routed_peer sender, records_message const& message, monotonic_time now)
{
    for (auto const& record : message.records) {
        if (auto status = m_directory.merge(record, now); !status.ok())
            return status;
    }
    for (auto const& renewal : message.renewals) {
        // Without an entry there is nothing to renew; the full record follows within fullRecordInterval.
        auto const* entry = m_directory.find(renewal.server);
        if (!entry)
            continue;
        server_record record { entry->id, entry->announcement,
            { entry->stamp.incarnation, renewal.sequence, sender.host }, duration::zero() };
        record.announcement.load = renewal.load;
        if (auto status = m_directory.merge(record, now); !status.ok())
            return status;
    }
    return absl::OkStatus();
}

absl::Status balancer_coordinator::handle(routed_peer, handshake_statistics_message const& message, monotonic_time now)
{
    observe(message.statistics, now);
    return absl::OkStatus();
}

absl::Status balancer_coordinator::handle(routed_peer sender, table_message const& message, monotonic_time now)
{
    auto const isOfSender = [&](auto const* report) { return !report || report->reporter == sender; };
    if (!isOfSender(std::get_if<settled_report>(&message)) || !isOfSender(std::get_if<filled_report>(&message)))
        return makeError(error_kind::InvalidArgument, "report names another host than the sender of the message");
    // A host that synchronises may become the planner at once. With tables but without the servers they refer to, it
    // would reset flows and move buckets. Messages to a peer arrive in order, so the records are sent first.
    if (std::holds_alternative<table_request>(message) && m_tableCoordinator.isPlanning())
        send(sender.host, records_message { m_directory.recordsSince(0, record_scope::All, now), {} });
    send(m_tableCoordinator.receive(sender, message, now));
    return absl::OkStatus();
}

bool balancer_coordinator::isWitness(routed_peer peer, bucket_table const& table, uint32_t index) const
{
    auto const& value = table.at(index);
    if (value.phase != bucket_phase::Tracked)
        return true;
    auto const& set = table.witnessesOf(value);
    return std::any_of(set.groups.begin(), set.groups.begin() + set.count, [&](witness_group const& group) {
        return std::any_of(group.witnesses.begin(), group.witnesses.begin() + group.count,
            [&](witness const& entry) { return entry.host == peer.host && entry.incarnation == peer.incarnation; });
    });
}

absl::Status balancer_coordinator::handle(routed_peer sender, fill_request const& message, monotonic_time)
{
    auto const table = m_tables.find(message.service);
    if (table == m_tables.end())
        return makeError(error_kind::NotFound, "fill request for an unknown service");
    // This host must know the requester's witness role. Once it does, new entries reach both hosts, and the export
    // contains all earlier ones.
    for (auto const index : message.buckets) {
        if (index >= table->second->bucketCount())
            return makeError(error_kind::InvalidArgument, "fill request for a bucket that does not exist");
        if (!isWitness(sender, *table->second, index))
            return absl::OkStatus();
    }
    m_commands.push_back(
        export_command { sender.host, message.service, message.buckets, message.cursor, m_settings.fillBatchSize });
    return absl::OkStatus();
}

absl::Status balancer_coordinator::handle(routed_peer sender, fill_response const& message, monotonic_time)
{
    if (auto import = m_filler.receive(sender.host, message))
        m_commands.push_back(*std::move(import));
    return absl::OkStatus();
}

absl::Status balancer_coordinator::handle(routed_peer sender, leave_permission const&, monotonic_time)
{
    if (m_intent == host_intent::Leaving && m_peers->planner() == sender)
        m_mayLeave = true;
    return absl::OkStatus();
}

void balancer_coordinator::runTables(monotonic_time now)
{
    send(m_tableCoordinator.step(plannerServers(now), m_intent, now));
    sendLeavePermissions(now);
    refreshTables();
}

void balancer_coordinator::sendLeavePermissions(monotonic_time now)
{
    if (m_permissionsSentAt && now - *m_permissionsSentAt < m_settings.heartbeatInterval)
        return;
    m_permissionsSentAt = now;
    for (auto const host : m_tableCoordinator.mayLeave()) {
        if (host == m_settings.self.host)
            m_mayLeave = true;
        else
            send(host, leave_permission {});
    }
}

void balancer_coordinator::refreshTables()
{
    for (auto const& service : m_configuration.services) {
        auto const& table = m_tableCoordinator.table(service.id);
        auto& shared = m_tables[service.id];
        if (shared && *shared == table)
            continue;
        shared = std::make_shared<bucket_table const>(table);
        m_filler.update(table);
    }
}

void balancer_coordinator::scanForSettling(monotonic_time now)
{
    for (auto const& service : m_configuration.services) {
        if (service.protocol != ip_protocol::Tcp)
            continue;
        auto& scanner = m_scanners.try_emplace(service.id, m_settings.self, m_settings.settleScanBuckets).first->second;
        for (auto& command : scanner.step(*m_tables.at(service.id), m_configuration.flowIdleTimeout, now))
            m_commands.push_back(std::move(command));
    }
}

} // namespace bilberryyard
