#include <Membership/table_coordinator.h>

#include <Base/error_kind.h>
#include <Routing/delta_builder.h>
#include <algorithm>
#include <bit>
#include <string>

namespace bilberryyard {

namespace {

    constexpr duration requestInterval = std::chrono::milliseconds { 500 };
    // A new planner publishes changes once all live peers acknowledge its tables, at the latest after this delay. It
    // covers two heartbeats and the acknowledgement. A change that is published before the peers follow the new planner
    // forces a snapshot of every table to each of them.
    constexpr duration maximumPublishDelay = std::chrono::milliseconds { 1000 };

} // namespace

table_coordinator::table_coordinator(planner_settings const& settings, peer_view& view)
    : m_settings(settings)
    , m_view(&view)
{
}

absl::StatusOr<table_coordinator> table_coordinator::create(planner_settings const& settings, peer_view& view)
{
    if (auto const planner = table_planner::create(settings, view.self()); !planner.ok())
        return planner.status();
    return table_coordinator(settings, view);
}

absl::Status table_coordinator::setServices(std::map<service_id, coordinated_service> const& services)
{
    for (auto const& [service, value] : services) {
        if (!std::has_single_bit(value.bucketCount))
            return makeError(error_kind::InvalidArgument,
                "bucket_count " + std::to_string(value.bucketCount) + " is not a power of two");
        auto const known = m_services.find(service);
        if (known != m_services.end() && known->second != value)
            return makeError(error_kind::InvalidArgument,
                "bucket_count and protocol of service " + std::to_string(service.value) + " cannot change");
    }
    bool const wasPlanning = isPlanning();
    stopPlanning();
    m_services = services;
    std::erase_if(m_replicas, [&](auto const& item) { return !services.contains(item.first); });
    for (auto const& [service, value] : services)
        m_replicas.try_emplace(service, replicated_table { bucket_table(service, value.bucketCount), {} });
    if (wasPlanning)
        startPlanning();
    return absl::OkStatus();
}

std::vector<addressed_message> table_coordinator::receive(
    routed_peer sender, table_message const& message, monotonic_time now)
{
    if (auto const* delta = std::get_if<table_delta>(&message)) {
        auto const replica = m_replicas.find(delta->service);
        if (m_planner || replica == m_replicas.end())
            return {};
        return requestIfNeeded(delta->service, replica->second.received(sender, *delta), now);
    }
    if (auto const* snapshot = std::get_if<table_snapshot>(&message))
        return applySnapshot(sender, *snapshot, now);
    if (!m_planner)
        return {};
    if (auto const* request = std::get_if<table_request>(&message))
        return respond(sender, *request, now);
    if (auto const* offer = std::get_if<table_offer>(&message)) {
        // An offer of a removed service or with another bucket count comes from a host with another configuration,
        // which synchronises when the configurations agree.
        (void)m_planner->offer(offer->content);
    } else {
        report(message);
    }
    return {};
}

std::vector<addressed_message> table_coordinator::step(
    std::map<service_id, std::vector<planner_server>> const& servers, host_intent intent, monotonic_time now)
{
    if (!m_view->isPlanner()) {
        stopPlanning();
        return followPlanner(now);
    }
    if (!m_planner)
        startPlanning();
    return plan(servers, intent, now);
}

std::vector<addressed_message> table_coordinator::report(table_message const& report)
{
    if (m_planner) {
        if (auto const* settled = std::get_if<settled_report>(&report))
            m_planner->settled(*settled);
        else if (auto const* filled = std::get_if<filled_report>(&report))
            m_planner->filled(*filled);
        return {};
    }
    auto const planner = m_view->planner();
    if (!planner)
        return {};
    return { { planner->host, report } };
}

table_acknowledgement table_coordinator::acknowledgement() const
{
    auto const planner = m_view->planner();
    if (!planner || m_planner)
        return {};
    table_acknowledgement result { *planner, {} };
    for (auto const& [service, replica] : m_replicas) {
        if (auto const version = replica.acknowledged(*planner))
            result.versions.emplace(service, *version);
    }
    return result;
}

std::map<service_id, table_announcement> table_coordinator::announcements() const { return m_announcements; }

bucket_table const& table_coordinator::table(service_id service) const
{
    return m_planner ? *m_planner->table(service) : m_replicas.at(service).table();
}

void table_coordinator::startPlanning()
{
    // create() has validated the settings.
    m_planner.emplace(table_planner::create(m_settings, m_view->self()).value());
    for (auto const& [service, value] : m_services)
        (void)m_planner->addService(value.traffic, m_replicas.at(service).replicated());
}

void table_coordinator::stopPlanning()
{
    if (!m_planner)
        return;
    for (auto& [service, replica] : m_replicas)
        replica = table_replica(*m_planner->replicated(service));
    m_planner.reset();
    m_planningSince.reset();
    m_mayPublish = false;
    m_announcedRevisions.clear();
    m_announcements.clear();
    m_mayLeave.clear();
}

std::vector<addressed_message> table_coordinator::plan(
    std::map<service_id, std::vector<planner_server>> const& servers, host_intent intent, monotonic_time now)
{
    auto const input = inputFrom(servers, intent, now);
    auto output = mayPublish(input) ? m_planner->step(input) : planner_output {};
    std::vector<addressed_message> messages;
    for (auto const& delta : output.deltas) {
        for (auto const& peer : m_view->livePeers())
            messages.push_back({ peer.host, delta });
    }
    m_mayLeave = std::move(output.mayLeave);
    for (auto const& [service, replica] : m_replicas) {
        auto const revision = m_planner->revision(service);
        auto const [announced, inserted] = m_announcedRevisions.try_emplace(service, revision);
        if (!inserted && announced->second == revision)
            continue;
        announced->second = revision;
        auto const& current = *m_planner->table(service);
        m_announcements[service] = { current.version(), current.digest() };
    }
    return messages;
}

bool table_coordinator::mayPublish(planner_input const& input)
{
    if (!m_planningSince)
        m_planningSince = input.now;
    auto const followsThisPlanner = [&](planner_host const& host) {
        return host.peer == input.self || host.acknowledged.size() == m_services.size();
    };
    m_mayPublish = m_mayPublish || input.now - *m_planningSince >= maximumPublishDelay
        || std::all_of(input.hosts.begin(), input.hosts.end(), followsThisPlanner);
    return m_mayPublish;
}

planner_input table_coordinator::inputFrom(
    std::map<service_id, std::vector<planner_server>> const& servers, host_intent intent, monotonic_time now) const
{
    auto const self = m_view->self();
    planner_input input { now, self, {}, m_view->configuredHosts(), servers };
    input.hosts.push_back({ self, m_view->zone(), intent == host_intent::Leaving, {} });
    for (auto const& heartbeat : m_view->liveHeartbeats()) {
        auto const& acknowledgement = heartbeat.acknowledgement;
        planner_host host { heartbeat.sender, heartbeat.zone, heartbeat.intent == host_intent::Leaving, {} };
        if (acknowledgement.planner == self)
            host.acknowledged = acknowledgement.versions;
        input.hosts.push_back(std::move(host));
    }
    std::sort(input.hosts.begin(), input.hosts.end());
    return input;
}

std::vector<addressed_message> table_coordinator::followPlanner(monotonic_time now)
{
    auto const planner = m_view->planner();
    auto const* heartbeat = planner ? m_view->heartbeatOf(planner->host) : nullptr;
    if (!heartbeat)
        return {};
    bool const isUnsynchronised = m_view->state() == synchronisation::Unsynchronised;
    bool isComplete = true;
    std::vector<addressed_message> messages;
    for (auto& [service, replica] : m_replicas) {
        auto const announced = heartbeat->tables.find(service);
        if (announced == heartbeat->tables.end()) {
            isComplete = false;
            continue;
        }
        auto const received = m_receivedSnapshots.find(service);
        bool const isCurrent
            = received != m_receivedSnapshots.end() && received->second == std::pair { *planner, m_view->epoch() };
        if (isUnsynchronised && !isCurrent)
            replica.loseSynchronisation();
        auto need = replica.announced(*planner, announced->second.version, announced->second.digest);
        // Only a response to a request proves that the planner has this host in its view again.
        if (isUnsynchronised && !isCurrent)
            need = replica_need::Snapshot;
        isComplete = isComplete && need == replica_need::Nothing;
        for (auto& message : requestIfNeeded(service, need, now))
            messages.push_back(std::move(message));
    }
    if (isUnsynchronised && isComplete)
        m_view->tablesReceived(*planner, m_view->epoch(), now);
    return messages;
}

std::vector<addressed_message> table_coordinator::respond(
    routed_peer sender, table_request const& request, monotonic_time now)
{
    auto const [epoch, isNew] = m_epochs.try_emplace(sender, request.epoch);
    // Epochs start at 1. For a host without an earlier request to this one, a higher epoch may result from a loss of
    // synchronisation that has already been handled; its witness roles are then revoked once more than necessary.
    bool const hasLostSynchronisation = isNew ? request.epoch > 1 : epoch->second != request.epoch;
    if (hasLostSynchronisation) {
        // No response is sent. The host repeats its request, and by then its witness roles are revoked in the table.
        epoch->second = request.epoch;
        m_planner->recordDesynchronisation(sender);
        return {};
    }
    auto content = m_planner->replicated(request.service);
    if (!content)
        return {};
    m_planner->charge(estimateDeltaBytes(content->table.snapshot()), now);
    return { { sender.host, table_snapshot { std::move(*content), request.epoch } } };
}

std::vector<addressed_message> table_coordinator::applySnapshot(
    routed_peer sender, table_snapshot const& snapshot, monotonic_time now)
{
    auto const service = snapshot.content.table.service();
    auto const replica = m_replicas.find(service);
    if (m_planner || replica == m_replicas.end() || snapshot.epoch != m_view->epoch())
        return {};
    auto const need = replica->second.received(sender, snapshot.content);
    if (need == replica_need::Offer) {
        m_requestedAt.erase(service);
        return { { sender.host, table_offer { replica->second.replicated() } } };
    }
    m_receivedSnapshots[service] = { sender, snapshot.epoch };
    return requestIfNeeded(service, need, now);
}

std::vector<addressed_message> table_coordinator::requestIfNeeded(
    service_id service, replica_need need, monotonic_time now)
{
    auto const planner = m_view->planner();
    if (need != replica_need::Snapshot || !planner)
        return {};
    auto const requested = m_requestedAt.find(service);
    if (requested != m_requestedAt.end() && now - requested->second < requestInterval)
        return {};
    m_requestedAt[service] = now;
    return { { planner->host, table_request { service, m_view->epoch() } } };
}

} // namespace bilberryyard
