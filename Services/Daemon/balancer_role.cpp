#include "balancer_role.h"

#include <chrono>
#include <thread>

namespace bilberryyard {

namespace {

    // The platform probes at least once a second and stops sending packets to the host after two failed probes.
    constexpr std::chrono::milliseconds probeFailureDelay { 3'000 };
    // The transfer of witness roles is rate-limited by the control budget. After this timeout the host stops
    // regardless and leaves its flows to the remaining witnesses.
    constexpr std::chrono::milliseconds leaveTimeout { 60'000 };
    constexpr std::chrono::milliseconds pollInterval { 50 };

    // Tenths of a second since 2026-01-01, which distinguishes the incarnations of a host without storing a counter.
    uint32_t currentIncarnation()
    {
        constexpr std::chrono::seconds epoch { 1'767'225'600 };
        auto const now = std::chrono::system_clock::now().time_since_epoch() - epoch;
        return static_cast<uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count() / 100);
    }

    ip_endpoint toIpEndpoint(endpoint const& value) { return { value.address, value.port }; }

    coordinator_settings coordinatorSettingsOf(daemon_settings const& settings, uint32_t incarnation)
    {
        coordinator_settings result;
        result.self = { settings.host, incarnation };
        result.hashSeed = settings.hashSeed();
        for (auto const& host : settings.entryHosts)
            result.entryHosts.insert(host.host);
        return result;
    }

    template <typename Member>
    std::map<host_id, ip_endpoint> endpointsOfPeers(daemon_settings const& settings, Member member)
    {
        std::map<host_id, ip_endpoint> result;
        for (auto const& host : settings.entryHosts) {
            if (host.host != settings.host)
                result[host.host] = toIpEndpoint(host.*member);
        }
        return result;
    }

} // namespace

absl::StatusOr<std::unique_ptr<balancer_role>> balancer_role::create(
    daemon_settings const& settings, metrics_registry& metrics)
{
    auto const incarnation = currentIncarnation();
    auto const deployment = static_cast<uint32_t>(settings.hashSeed());
    auto role = std::unique_ptr<balancer_role>(new balancer_role);

    processor_settings processor;
    processor.peers = endpointsOfPeers(settings, &entry_host_settings::relay);
    processor.callerGateway = toIpEndpoint(settings.balancer->callerGateway);
    auto packets = packet_worker::create(
        toIpEndpoint(settings.balancer->packet), toIpEndpoint(settings.balancer->relay), processor);
    if (!packets.ok())
        return packets.status();
    role->m_packets = *std::move(packets);

    auto socket = message_socket::create(
        toIpEndpoint(settings.balancer->peer), endpointsOfPeers(settings, &entry_host_settings::peer));
    if (!socket.ok())
        return socket.status();
    role->m_coordination = std::make_unique<coordination_worker>(
        coordinatorSettingsOf(settings, incarnation), deployment, *std::move(socket), *role->m_packets, metrics);

    std::vector<ip_endpoint> controlHosts;
    for (auto const& member : settings.controlMembers)
        controlHosts.push_back(toIpEndpoint(member.distribution));
    configuration_request request;
    request.deployment = deployment;
    request.host = settings.host;
    request.incarnation = incarnation;
    request.zone = settings.zone;
    auto const savedFile = settings.dataFolder.empty() ? std::string() : settings.dataFolder + "/configuration.saved";
    role->m_configuration = std::make_unique<configuration_worker>(
        std::make_unique<configuration_subscriber>(std::move(controlHosts), request), *role->m_coordination,
        settings.zone, savedFile);
    role->m_backend = std::make_unique<balancer_backend_adapter>(*role->m_coordination, *role->m_packets);
    role->m_api = std::make_unique<balancer_api<balancer_backend_adapter>>(*role->m_backend);
    return role;
}

readiness balancer_role::readinessNow() const
{
    auto const status = m_coordination->status();
    if (status->isLeaving)
        return readiness::Stopping;
    // An isolated host continues to serve its zone. An unsynchronised host lacks its tables and is not ready.
    bool const isReady = status->isConfigured && status->state != synchronisation::Unsynchronised;
    return isReady ? readiness::Ready : readiness::Starting;
}

void balancer_role::leave()
{
    m_coordination->tasks().push([](balancer_coordinator* coordinator, monotonic_time) {
        if (coordinator)
            coordinator->leave();
    });
    auto const started = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - started < leaveTimeout) {
        std::this_thread::sleep_for(pollInterval);
        auto const status = m_coordination->status();
        bool const isOnlyHost = !status->isConfigured || status->hosts.size() <= 1;
        if ((status->mayLeave || isOnlyHost) && std::chrono::steady_clock::now() - started >= probeFailureDelay)
            return;
    }
}

} // namespace bilberryyard
