#include "pool_simulation.h"

#include <allocation_counter.h>
#include <processor_time.h>

namespace bilberryyard {

namespace {

    using namespace std::chrono_literals;

} // namespace

absl::StatusOr<pool_simulation> pool_simulation::create(pool_shape const& shape)
{
    pool_simulation result(shape);
    result.m_memoryBefore = allocation_counter::allocatedBytes();
    coordinated_configuration configuration;
    configuration.revision = 1;
    // Short, so that the buckets settle during the simulation. The steady-state traffic does not depend on it.
    configuration.flowIdleTimeout = 2s;
    configuration.planner.flowIdleTimeout = 2s;
    configuration.planner.bytesPerSecond = 4'096 * 2 / 5;
    configuration.zones["a"] = zone_id { 1 };
    for (uint32_t number = 1; number <= shape.services; ++number) {
        routed_service service;
        service.id = { number };
        service.name = "service" + std::to_string(number);
        service.addresses = { ip_address::fromIpv4(0xC6120000U + number) };
        service.port = 80;
        service.bucketCount = shape.bucketCount;
        configuration.services.push_back(std::move(service));
    }
    coordinator_settings settings;
    settings.zone = { 1 };
    settings.planner = configuration.planner;
    for (uint32_t number = 1; number <= shape.hosts; ++number)
        settings.entryHosts.insert(host_id { number });
    for (uint32_t number = 1; number <= shape.hosts; ++number) {
        settings.self = { host_id { number }, 1 };
        auto coordinator = balancer_coordinator::create(settings, result.m_now);
        if (!coordinator.ok())
            return coordinator.status();
        if (auto status = coordinator->configure(configuration, result.m_now); !status.ok())
            return status;
        result.m_hosts.push_back({ *std::move(coordinator), {} });
    }
    return result;
}

absl::Status pool_simulation::announce(duration stepInterval)
{
    // The announcements are spread over the steps of each second.
    for (uint32_t server = 0; server < m_shape.servers; ++server) {
        auto const due = 1s * (server % 10) / 10;
        auto const phase = m_now.time_since_epoch() % 1s;
        if (phase < due || phase >= due + stepInterval)
            continue;
        server_announcement announcement;
        announcement.key
            = { service_id { server % m_shape.services + 1 }, ip_address::fromIpv4(0x0A400000U + server), 6'080 };
        announcement.zone = { 1 };
        announcement.state = server_state::Serving;
        announcement.slots = 2;
        announcement.connectionLimit = 4'000;
        announcement.load = { 1, 0, static_cast<uint32_t>(2'400 + (m_now.time_since_epoch() / 1s + server) % 50) };
        announcement.incarnation = 1;
        auto& receiver = m_hosts[server % m_shape.hosts];
        auto const begin = processorSeconds();
        auto const id = receiver.coordinator.announce(announcement, m_now);
        receiver.processorTimeSeconds += processorSeconds() - begin;
        if (!id.ok())
            return id.status();
    }
    return absl::OkStatus();
}

void pool_simulation::executeCommand(host& value, flow_command const& command)
{
    // No flow is open, so every requested bucket has settled and every transfer is complete.
    if (auto const* settle = std::get_if<settle_command>(&command))
        value.coordinator.receive(settle_result { settle->service, settle->stamp, settle->buckets }, m_now);
    if (auto const* exported = std::get_if<export_command>(&command)) {
        export_result result { *exported, {} };
        result.batch.done = true;
        value.coordinator.receive(result, m_now);
    }
}

absl::Status pool_simulation::stepHost(host& value)
{
    auto const begin = processorSeconds();
    for (; !value.inbox.empty(); value.inbox.pop_front()) {
        value.bytesReceived += value.inbox.front().size();
        auto const message = m_codec.decode(value.inbox.front());
        if (!message.ok())
            return message.status();
        if (auto status = value.coordinator.receive(*message, m_now); !status.ok())
            return status;
    }
    value.coordinator.step(m_now);
    for (auto const& command : value.coordinator.drainCommands())
        executeCommand(value, command);
    value.coordinator.pollView();
    std::vector<std::pair<host_id, std::string>> sent;
    for (auto const& message : value.coordinator.drainMessages()) {
        sent.emplace_back(message.receiver, m_codec.encode(message.message));
        m_bytesByKind[message.message.body.index()] += sent.back().second.size();
    }
    value.processorTimeSeconds += processorSeconds() - begin;
    for (auto& [receiver, bytes] : sent) {
        value.bytesSent += bytes.size();
        ++value.messagesSent;
        m_hosts[receiver.value - 1].inbox.push_back(std::move(bytes));
    }
    return absl::OkStatus();
}

void pool_simulation::reportHandshakeStatistics()
{
    for (auto& value : m_hosts) {
        handshake_statistics_result statistics;
        for (auto const& entry : value.coordinator.directory().owners()) {
            if (statistics.statistics.size() < 3)
                statistics.statistics.push_back({ entry.first, 1, 0, 1 });
        }
        value.coordinator.receive(statistics, m_now);
    }
}

absl::Status pool_simulation::run(duration period, duration stepInterval)
{
    for (auto const end = m_now + period; m_now < end; m_now += stepInterval) {
        if (auto status = announce(stepInterval); !status.ok())
            return status;
        if (m_now.time_since_epoch() % 1s < stepInterval)
            reportHandshakeStatistics();
        for (auto& value : m_hosts) {
            if (auto status = stepHost(value); !status.ok())
                return status;
        }
    }
    return absl::OkStatus();
}

absl::StatusOr<duration> pool_simulation::settle(duration timeout)
{
    auto const start = m_now;
    while (m_now - start < timeout && !isSettled()) {
        if (auto status = run(1s, longStepInterval); !status.ok())
            return status;
    }
    return m_now - start;
}

absl::StatusOr<pool_cost> pool_simulation::measure(duration period, duration stepInterval)
{
    for (auto& value : m_hosts) {
        value.processorTimeSeconds = 0;
        value.bytesSent = 0;
        value.bytesReceived = 0;
        value.messagesSent = 0;
    }
    m_bytesByKind = {};
    if (auto status = run(period, stepInterval); !status.ok())
        return status;
    auto const seconds = std::chrono::duration<double>(period).count();
    auto const others = static_cast<double>(m_hosts.size() - 1);
    auto const planner = m_hosts.front().coordinator.planner();
    pool_cost cost;
    for (uint32_t index = 0; index < m_shape.hosts; ++index) {
        auto const& value = m_hosts[index];
        bool const isPlanner = planner && planner->host.value == index + 1;
        auto const divisor = isPlanner ? seconds : seconds * others;
        (isPlanner ? cost.plannerShare : cost.otherShare) += value.processorTimeSeconds / divisor;
        (isPlanner ? cost.plannerBytesSent : cost.otherBytesSent) += static_cast<double>(value.bytesSent) / divisor;
        cost.bytesReceived += static_cast<double>(value.bytesReceived) / seconds / m_shape.hosts;
        cost.messagesSent += static_cast<double>(value.messagesSent) / seconds / m_shape.hosts;
    }
    for (size_t kind = 0; kind < m_bytesByKind.size(); ++kind)
        cost.bytesByKind[kind] = static_cast<double>(m_bytesByKind[kind]) / seconds / m_shape.hosts;
    cost.memoryBytes = static_cast<double>(allocation_counter::allocatedBytes() - m_memoryBefore) / m_shape.hosts;
    return cost;
}

bool pool_simulation::isSettled() const
{
    auto const& tables = m_hosts.front().coordinator.tables();
    if (tables.size() != m_shape.services)
        return false;
    for (auto const& [service, table] : tables) {
        for (uint32_t index = 0; index < table->bucketCount(); ++index) {
            if (table->at(index).phase != bucket_phase::Stable || table->at(index).current == noServer)
                return false;
        }
    }
    return true;
}

} // namespace bilberryyard
