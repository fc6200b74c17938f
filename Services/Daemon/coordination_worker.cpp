#include "coordination_worker.h"

#include <Base/error_kind.h>
#include <array>
#include <string_view>

namespace bilberryyard {

namespace {

    constexpr std::chrono::milliseconds receiveTimeout { 10 };
    constexpr std::chrono::milliseconds stepInterval { 50 };
    constexpr std::chrono::milliseconds statusInterval { 200 };

    std::string_view kindOf(table_message const& message)
    {
        constexpr std::array<std::string_view, std::variant_size_v<table_message>> names { "table_delta",
            "table_request", "table_snapshot", "table_offer", "settled_report", "filled_report" };
        return names[message.index()];
    }

    std::string_view kindOf(coordination_message const& message)
    {
        constexpr std::array<std::string_view, std::variant_size_v<coordination_message::body_type>> names {
            "heartbeat", "records", "evidence", "table", "fill_request", "fill_answer", "leave_permission"
        };
        auto const* table = std::get_if<table_message>(&message.body);
        return table ? kindOf(*table) : names[message.body.index()];
    }

} // namespace

coordination_worker::coordination_worker(coordinator_settings const& settings, uint32_t deployment,
    message_socket socket, packet_worker& packets, metrics_registry& metrics)
    : m_settings(settings)
    , m_codec(deployment)
    , m_socket(std::move(socket))
    , m_packets(packets)
    , m_metrics(metrics)
{
    m_thread = std::make_unique<worker_thread>("coordination", [this](std::stop_token const& token) { run(token); });
}

void coordination_worker::run(std::stop_token const& stopToken)
{
    while (!stopToken.stop_requested()) {
        auto const now = std::chrono::steady_clock::now();
        applyConfigurations(now);
        while (auto const task = m_tasks.pop()) {
            (*task)(m_coordinator ? &*m_coordinator : nullptr, now);
            m_hasInput = true;
        }
        if (m_coordinator) {
            processFlowResults(now);
            // A step visits every server and bucket, so without input it only runs once per stepInterval.
            if (m_hasInput || now - m_lastStepAt >= stepInterval) {
                m_coordinator->step(now);
                m_lastStepAt = now;
                m_hasInput = false;
            }
            sendOutput();
        }
        if (!m_statusPublishedAt || now - *m_statusPublishedAt >= statusInterval) {
            publishStatus(now);
            publishMetrics();
        }
        receiveMessages(receiveTimeout);
    }
}

void coordination_worker::applyConfigurations(monotonic_time now)
{
    while (auto const update = m_configurations.pop()) {
        if (!m_coordinator) {
            m_settings.zone = (*update)->zone;
            m_settings.planner = (*update)->configuration.planner;
            auto created = balancer_coordinator::create(m_settings, now);
            if (!created.ok()) {
                m_logger.emit(events::startFailed, messageOf(created.status()));
                continue;
            }
            m_coordinator.emplace(*std::move(created));
        }
        if (auto const status = m_coordinator->configure((*update)->configuration, now); !status.ok()) {
            m_logger.emit(events::configurationRefused, messageOf(status));
            continue;
        }
        m_sharedConfiguration = std::make_shared<coordinated_configuration const>(m_coordinator->configuration());
        m_logger.emit(events::configurationInForce, "revision=" + std::to_string((*update)->configuration.revision));
        m_statusPublishedAt.reset();
    }
}

void coordination_worker::processFlowResults(monotonic_time now)
{
    while (auto const result = m_packets.results().pop()) {
        m_coordinator->receive(*result, now);
        m_hasInput = true;
    }
}

void coordination_worker::receiveMessages(std::chrono::milliseconds timeout)
{
    auto bytes = m_socket.receive(timeout);
    while (bytes) {
        m_hasInput = true;
        auto const message = m_codec.decode(*bytes);
        auto status = message.status();
        if (status.ok() && m_coordinator)
            status = m_coordinator->receive(*message, std::chrono::steady_clock::now());
        if (!status.ok())
            m_metrics.counter("peer_messages_refused_total").add();
        bytes = m_socket.receive(std::chrono::milliseconds(0));
    }
}

void coordination_worker::sendOutput()
{
    for (auto const& message : m_coordinator->drainMessages()) {
        auto const bytes = m_codec.encode(message.message);
        if (!m_socket.send(message.receiver, bytes))
            m_metrics.counter("peer_messages_unsent_total").add();
        else
            m_metrics.counter("peer_sent_" + std::string(kindOf(message.message)) + "_bytes_total").add(bytes.size());
    }
    for (auto const& command : m_coordinator->drainCommands())
        m_packets.commands().push(command);
    if (auto view = m_coordinator->pollView())
        m_unsentView = std::move(view);
    // When the ring is full, the packet thread is behind; the latest view is pushed again in the next iteration.
    if (m_unsentView && m_packets.views().push(m_unsentView))
        m_unsentView.reset();
}

void coordination_worker::publishStatus(monotonic_time now)
{
    m_statusPublishedAt = now;
    auto status = std::make_shared<balancer_status>();
    if (m_coordinator) {
        status->isConfigured = true;
        status->state = m_coordinator->state();
        status->planner = m_coordinator->planner();
        status->configuration = m_sharedConfiguration;
        status->hosts = m_coordinator->hosts(now);
        status->servers = m_coordinator->servers(now);
        status->tables = m_coordinator->tables();
        // The first entry of hosts() is this host.
        status->isLeaving = status->hosts.front().intent == host_intent::Leaving;
        status->mayLeave = m_coordinator->mayLeave();
    }
    m_status.publish(std::move(status));
}

void coordination_worker::publishMetrics()
{
    m_metrics.setGauge("peer_sent_bytes", static_cast<double>(m_socket.sentBytes()));
    m_metrics.setGauge("peer_received_bytes", static_cast<double>(m_socket.receivedBytes()));
    auto const& counters = m_packets.counters();
    m_metrics.setGauge("packets_from_fabric", static_cast<double>(counters.fromFabric.load()));
    m_metrics.setGauge("packets_from_peers", static_cast<double>(counters.fromPeers.load()));
    m_metrics.setGauge("packets_to_servers", static_cast<double>(counters.toServers.load()));
    m_metrics.setGauge("packets_to_peers", static_cast<double>(counters.toPeers.load()));
    m_metrics.setGauge("packets_rejected", static_cast<double>(counters.rejected.load()));
    m_metrics.setGauge("packets_kernel_dropped", static_cast<double>(m_packets.kernelDrops()));
    m_metrics.setGauge("packets_send_failed", static_cast<double>(m_packets.sendFailures()));
    m_metrics.setGauge("flow_entries", static_cast<double>(m_packets.flowCount()));
    for (size_t index = 0; index < dropReasonCount; ++index) {
        auto const name = std::string(dropReasonName(static_cast<drop_reason>(index)));
        m_metrics.setGauge("packets_dropped_" + name, static_cast<double>(counters.dropped[index].load()));
    }
    if (!m_coordinator)
        return;
    m_metrics.setGauge("configuration_revision", static_cast<double>(m_coordinator->configurationRevision()));
    auto const planner = m_coordinator->planner();
    m_metrics.setGauge("planner_host", planner ? static_cast<double>(planner->host.value) : 0);
    m_metrics.setGauge("synchronisation_state", static_cast<double>(m_coordinator->state()));
    for (auto const& [service, table] : m_coordinator->tables()) {
        auto const suffix = "_service_" + std::to_string(service.value);
        uint32_t tracked = 0;
        for (uint32_t index = 0; index < table->bucketCount(); ++index)
            tracked += table->at(index).phase == bucket_phase::Tracked ? 1 : 0;
        m_metrics.setGauge("table_version" + suffix, static_cast<double>(table->version()));
        m_metrics.setGauge("table_tracked_buckets" + suffix, tracked);
    }
}

} // namespace bilberryyard
