#include "coordinator_cluster.h"

#include <boost/test/unit_test.hpp>

namespace bilberryyard {

namespace {

    constexpr uint32_t zoneCount = 3;

} // namespace

coordinator_cluster::coordinator_cluster(uint32_t hostCount, uint32_t bucketCount)
    : m_hostCount(hostCount)
{
    m_configuration.revision = 1;
    for (uint32_t service = 1; service <= 2; ++service)
        m_configuration.services.push_back({ service_id { service }, "service " + std::to_string(service),
            { ip_address::fromIpv4(0xc6336400 + service) }, 443, ip_protocol::Tcp, bucketCount });
    for (uint32_t zone = 1; zone <= zoneCount; ++zone)
        m_configuration.zones["zone " + std::to_string(zone)] = zone_id { zone };
}

void coordinator_cluster::start(uint32_t host)
{
    coordinator_settings settings;
    settings.self = { host_id { host }, ++m_incarnations[host] };
    settings.zone = zone_id { host % zoneCount + 1 };
    for (uint32_t other = 1; other <= m_hostCount; ++other)
        settings.entryHosts.insert(host_id { other });
    auto created = balancer_coordinator::create(settings, m_now);
    BOOST_REQUIRE_MESSAGE(created.ok(), created.status().ToString());
    auto coordinator = std::make_unique<balancer_coordinator>(*std::move(created));
    BOOST_REQUIRE(coordinator->configure(m_configuration, m_now).ok());
    m_hosts[host] = { std::move(coordinator), nullptr };
}

void coordinator_cluster::startAll()
{
    for (uint32_t host = 1; host <= m_hostCount; ++host)
        start(host);
}

server_key coordinator_cluster::addServer(uint32_t service, uint32_t number)
{
    server_key const key { service_id { service }, ip_address::fromIpv4(0x0a000000 + service * 256 + number), 6080 };
    m_servers.push_back(
        { key, zone_id { number % zoneCount + 1 }, server_state::Serving, 2, 2000, { 1, 0, number * 10 }, 1 });
    return key;
}

void coordinator_cluster::drain(server_key const& key)
{
    for (auto& server : m_servers) {
        if (server.key == key)
            server.state = server_state::Draining;
    }
}

void coordinator_cluster::run(duration length, std::function<void()> const& check)
{
    for (auto const end = m_now + length; m_now < end;) {
        m_now += tick;
        ++m_ticks;
        m_bytes.emplace_back();
        deliverDue();
        announceServers();
        if (reportsHandshakes)
            reportHandshakes();
        for (auto const host : running())
            step(host);
        if (check)
            check();
    }
}

std::vector<uint32_t> coordinator_cluster::running() const
{
    std::vector<uint32_t> result;
    for (auto const& [host, value] : m_hosts)
        result.push_back(host);
    return result;
}

void coordinator_cluster::announceServers()
{
    auto const hosts = running();
    uint64_t const ticksPerSecond = std::chrono::seconds { 1 } / tick;
    for (size_t index = 0; index < m_servers.size() && !hosts.empty(); ++index) {
        // The announcements are spread over the second.
        if (m_ticks % ticksPerSecond != index * 7 % ticksPerSecond)
            continue;
        auto& server = m_servers[index];
        server.load.openConnections = server.load.openConnections + 1;
        auto const only = m_onlyHost.find(server.key);
        auto const host
            = only == m_onlyHost.end() ? hosts[(index + m_ticks / ticksPerSecond) % hosts.size()] : only->second;
        auto const id = at(host).announce(server, m_now);
        BOOST_REQUIRE_MESSAGE(id.ok(), id.status().ToString());
    }
}

void coordinator_cluster::reportHandshakes()
{
    uint64_t const ticksPerSecond = std::chrono::seconds { 1 } / tick;
    for (auto const host : running()) {
        if (m_ticks % ticksPerSecond != host)
            continue;
        handshake_statistics_result result;
        // One handshake in 16 is sampled, so 5,000 new flows per second yield about 17 for each of 18 servers.
        for (auto const& status : at(host).servers(m_now))
            result.statistics.push_back({ status.entry.id, 17, 0, 15 });
        at(host).receive(flow_result { result }, m_now);
    }
}

void coordinator_cluster::deliverDue()
{
    while (!m_queuedMessages.empty() && m_queuedMessages.front().arrival <= m_now) {
        auto const arrived = std::move(m_queuedMessages.front());
        m_queuedMessages.pop_front();
        auto const host = m_hosts.find(arrived.message.receiver.value);
        if (host != m_hosts.end())
            // A message that its sender sent before a restart may be refused.
            (void)host->second.coordinator->receive(arrived.message.message, m_now);
    }
}

void coordinator_cluster::step(uint32_t host)
{
    auto& coordinator = at(host);
    coordinator.step(m_now);
    for (auto const& command : coordinator.drainCommands())
        respond(coordinator, command);
    if (auto view = coordinator.pollView())
        m_hosts.at(host).view = std::move(view);
    for (auto const& message : coordinator.drainMessages()) {
        auto const bytes = m_codec.encode(message.message);
        m_bytes.back()[host] += bytes.size();
        auto decoded = m_codec.decode(bytes);
        BOOST_REQUIRE_MESSAGE(decoded.ok(), decoded.status().ToString());
        if (shouldDeliver(message))
            m_queuedMessages.push_back({ { message.receiver, *std::move(decoded) }, m_now + tick });
    }
}

void coordinator_cluster::respond(balancer_coordinator& coordinator, flow_command const& command)
{
    if (auto const* exported = std::get_if<export_command>(&command))
        coordinator.receive(
            flow_result { export_result { *exported, { {}, { exported->buckets.size(), std::nullopt }, true } } },
            m_now);
    else if (auto const* settled = std::get_if<settle_command>(&command))
        coordinator.receive(
            flow_result { settle_result { settled->service, settled->stamp, settled->buckets } }, m_now);
}

std::map<uint32_t, size_t> coordinator_cluster::maximumWindowBytes() const
{
    size_t const length = std::chrono::seconds { 10 } / tick;
    std::map<uint32_t, size_t> sums;
    std::map<uint32_t, size_t> largest;
    for (size_t index = 0; index < m_bytes.size(); ++index) {
        for (auto const& [host, bytes] : m_bytes[index])
            sums[host] += bytes;
        if (index >= length) {
            for (auto const& [host, bytes] : m_bytes[index - length])
                sums[host] -= bytes;
        }
        for (auto const& [host, bytes] : sums)
            largest[host] = std::max(largest[host], bytes);
    }
    return largest;
}

} // namespace bilberryyard
