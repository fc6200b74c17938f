#include <Trace/replay_servers.h>

#include <Base/error_kind.h>

namespace bilberryyard {

namespace {

    using namespace std::chrono_literals;

    constexpr uint32_t firstAddress = 0x0ac80000;
    constexpr uint16_t gueServerPort = 6080;
    constexpr duration announcementInterval = 1s;
    constexpr duration serviceTime = 1ms;
    // Segments of a response are delayed by a random time below this, so that they can arrive out of order.
    constexpr uint64_t segmentJitterMicroseconds = 4'000;
    // A draining server should receive no new flow later than this after its announcement.
    constexpr duration drainTarget = 3s;

} // namespace

replay_servers::replay_servers(
    replay_network& network, replay_callers& callers, std::function<bool(server_announcement const&)> announce)
    : m_network(network)
    , m_callers(callers)
    , m_announce(std::move(announce))
{
}

ip_endpoint replay_servers::endpointOf(uint32_t server) const
{
    return { ip_address::fromIpv4(firstAddress + server), gueServerPort };
}

absl::Status replay_servers::apply(server_event const& event)
{
    if (event.kind == server_event_kind::Start) {
        auto& server = m_servers[event.server];
        server.serverId = event.server;
        server.settings = event;
        server.state = server_state::Serving;
        server.isRunning = true;
        ++server.incarnation;
        server.connections.clear();
        server.slotFreeAt.assign(std::max<uint32_t>(event.slots, 1), m_network.now());
        m_endpoints[endpointOf(event.server)] = event.server;
        announceEachSecond(event.server, server.incarnation);
        return absl::OkStatus();
    }
    auto const found = m_servers.find(event.server);
    if (found == m_servers.end())
        return makeError(
            error_kind::NotFound, "event for server " + std::to_string(event.server) + ", which never started");
    auto& server = found->second;
    if (event.kind == server_event_kind::Kill) {
        server.isRunning = false;
        for (auto const& [flow, value] : server.connections)
            m_callers.recordServerKill(flow);
        server.connections.clear();
        return absl::OkStatus();
    }
    server.state = server_state::Draining;
    server.drainedAt = m_network.now();
    announce(server);
    return absl::OkStatus();
}

void replay_servers::announce(simulated_server& server)
{
    server_announcement announcement;
    auto const endpoint = endpointOf(server.serverId);
    announcement.key = { server.settings.service, endpoint.address, endpoint.port };
    announcement.zone = server.settings.zone;
    announcement.state
        = m_network.options().isDisabled(replay_mechanism::DrainState) ? server_state::Serving : server.state;
    announcement.slots = server.settings.slots;
    announcement.connectionLimit = server.settings.connectionLimit;
    announcement.load.busySlots = static_cast<uint32_t>(std::count_if(server.slotFreeAt.begin(),
        server.slotFreeAt.end(), [&](monotonic_time freeAt) { return freeAt > m_network.now(); }));
    announcement.load.openConnections = static_cast<uint32_t>(server.connections.size());
    announcement.incarnation = server.incarnation;
    m_announce(announcement);
}

void replay_servers::announceEachSecond(uint32_t serverId, uint64_t incarnation)
{
    auto& server = m_servers[serverId];
    if (!server.isRunning || server.incarnation != incarnation)
        return;
    announce(server);
    stopWhenEmpty(server);
    m_network.queue().add(m_network.now() + announcementInterval,
        [this, serverId, incarnation] { announceEachSecond(serverId, incarnation); });
}

void replay_servers::stopWhenEmpty(simulated_server& server)
{
    // The drain announcement must have reached every host before the process ends.
    if (server.state == server_state::Draining && server.connections.empty()
        && m_network.now() - server.drainedAt > drainTarget)
        server.isRunning = false;
}

void replay_servers::receive(zone_id sender, ip_endpoint const& endpoint, parsed_packet const& packet)
{
    auto const found = m_endpoints.find(endpoint);
    auto const flow = m_callers.flowOf(packet.key);
    if (found == m_endpoints.end() || !flow)
        return;
    auto const& server = m_servers[found->second];
    if (!m_network.connects(sender, server.settings.zone))
        return;
    m_network.queue().add(m_network.now() + m_network.delayBetween(sender, server.settings.zone),
        [this, serverId = server.serverId, incarnation = server.incarnation, flow = *flow, packet] {
            deliver(serverId, incarnation, flow, packet);
        });
}

void replay_servers::deliver(uint32_t serverId, uint64_t incarnation, uint32_t flow, parsed_packet const& packet)
{
    auto& server = m_servers[serverId];
    if (!server.isRunning || server.incarnation != incarnation)
        return;
    if (m_callers.burstOf(flow).service != server.settings.service)
        ++m_network.outcome().wrongServicePackets;
    if (packet.kind == packet_kind::TcpSyn)
        return accept(server, flow);
    auto const found = server.connections.find(flow);
    if (found == server.connections.end())
        return sendEvent(flow, caller_event::ResetByServer);
    if ((packet.tcpFlags & tcp_flags::fin) != 0) {
        server.connections.erase(found);
        return sendEvent(flow, caller_event::Finished);
    }
    if (packet.payloadLength == 0)
        return;
    if (found->second.executed.insert(packet.tcpSequence).second)
        return execute(server, flow, packet.tcpSequence);
    sendResponse(flow, packet.tcpSequence, duration::zero());
}

void replay_servers::accept(simulated_server& server, uint32_t flow)
{
    auto const limit = server.settings.connectionLimit;
    bool const isKnown = server.connections.contains(flow);
    // A server at its connection limit ignores SYNs, like a TCP socket with a full listen backlog.
    if (!isKnown && limit != 0 && server.connections.size() >= limit)
        return;
    if (!isKnown) {
        if (server.state == server_state::Draining && m_network.now() - server.drainedAt > drainTarget)
            ++m_network.outcome().lateFlowsAtDraining;
        server.connections.try_emplace(flow);
    }
    sendEvent(flow, caller_event::Accepted);
}

void replay_servers::execute(simulated_server& server, uint32_t flow, uint32_t request)
{
    m_callers.recordExecution(flow, request);
    auto const slot = std::min_element(server.slotFreeAt.begin(), server.slotFreeAt.end());
    *slot = std::max(*slot, m_network.now()) + serviceTime;
    sendResponse(flow, request, *slot - m_network.now());
}

void replay_servers::sendResponse(uint32_t flow, uint32_t request, duration delay)
{
    auto const segmentCount = m_callers.burstOf(flow).responseSegments;
    for (uint32_t segmentIndex = 0; segmentIndex < segmentCount; ++segmentIndex) {
        auto const jitter
            = std::chrono::microseconds(segmentCount > 1 ? m_network.random(2) % segmentJitterMicroseconds : 0);
        m_network.queue().add(
            m_network.now() + delay + jitter + m_network.header().callerDelay, [this, flow, request, segmentIndex] {
                m_callers.receive(flow, response_segment { flow, request, segmentIndex });
            });
    }
}

void replay_servers::sendEvent(uint32_t flow, caller_event event)
{
    m_network.queue().add(
        m_network.now() + m_network.header().callerDelay, [this, flow, event] { m_callers.receive(flow, event); });
}

void replay_servers::sampleImbalance(std::map<service_id, std::string> const& names)
{
    for (auto const& [service, name] : names) {
        size_t total = 0;
        size_t largest = 0;
        size_t servers = 0;
        for (auto const& [serverId, server] : m_servers) {
            if (!server.isRunning || server.state != server_state::Serving || server.settings.service != service)
                continue;
            ++servers;
            total += server.connections.size();
            largest = std::max(largest, server.connections.size());
        }
        if (total == 0)
            continue;
        auto const mean = static_cast<double>(total) / static_cast<double>(servers);
        m_network.outcome().imbalance.push_back(
            { m_network.elapsed(), name, static_cast<double>(largest) / mean, mean });
    }
}

void replay_servers::finish()
{
    for (auto const& [serverId, server] : m_servers)
        m_network.outcome().unfinishedStops += server.isRunning && server.state == server_state::Draining ? 1 : 0;
}

} // namespace bilberryyard
