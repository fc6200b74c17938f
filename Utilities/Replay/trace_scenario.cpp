#include "trace_scenario.h"

#include <algorithm>

namespace bilberryyard {

namespace {

    using namespace std::chrono_literals;

    // Flow idle timeout. It is short because flows last for about 30 s and buckets have to settle within a trace.
    constexpr uint32_t idleSeconds = 6;
    constexpr service_id mainService { 1 };
    constexpr service_id secondaryService { 2 };

    uint64_t seedOf(std::string const& name)
    {
        uint64_t seed = 20'261'204;
        for (auto const letter : name)
            seed = seed * 131 + static_cast<uint8_t>(letter);
        return seed;
    }

} // namespace

trace_scenario::trace_scenario(deployment where, std::string const& name, duration length)
    : m_deployment(where)
{
    m_header.deployment = isFlessenpost() ? "flessenpost" : "derwent";
    m_header.name = m_header.deployment + "-" + name;
    m_header.seed = seedOf(m_header.name);
    m_header.hashSeed = m_header.seed ^ 0x5bd1e995;
    uint32_t const zones = isFlessenpost() ? 3 : 4;
    for (uint32_t zone = 1; zone <= zones; ++zone)
        m_header.zones.push_back({ zone_id { zone }, "zone" + std::to_string(zone) });
    m_header.zoneDelay = isFlessenpost() ? 500us : 1500us;
    m_header.localDelay = 100us;
    m_header.callerDelay = 3ms;
    for (uint32_t host = 1; host <= zones + 1; ++host)
        m_header.entryHosts.push_back({ host_id { host }, zone_id { (host - 1) % zones + 1 } });
    for (uint32_t host = 1; host <= 3; ++host)
        m_header.controlHosts.push_back({ host_id { 100 + host }, zone_id { host } });
    m_header.configuration = configurationYaml(idleSeconds);
    m_header.length = length;
    m_header.imbalanceFrom = length;
}

std::string trace_scenario::configurationYaml(uint32_t idle) const
{
    std::string text = "defaults:\n  flow_idle_timeout: " + std::to_string(idle)
        + "s\n  cold_start_seconds: 4\n  connection_limit: 2000\n  slots: " + (isFlessenpost() ? "2" : "3")
        + "\nzones:\n";
    for (auto const& zone : m_header.zones)
        text += "  - {name: " + zone.name + ", id: " + std::to_string(zone.id.value) + "}\n";
    text += "services:\n";
    text += std::string("  - {name: ") + (isFlessenpost() ? "orders" : "bookings")
        + ", id: 1, addresses: [10.100.0.1], port: 80, protocol: tcp}\n";
    text += std::string("  - {name: ") + (isFlessenpost() ? "gallery" : "packs")
        + ", id: 2, addresses: [10.100.0.2], port: 80, protocol: tcp}\n";
    return text;
}

std::vector<trace_input> trace_scenario::inputs() const
{
    auto result = m_inputs;
    std::stable_sort(result.begin(), result.end(),
        [](trace_input const& first, trace_input const& second) { return first.time < second.time; });
    return result;
}

void trace_scenario::startServers(uint32_t connectionLimit)
{
    for (uint32_t serverId = 1; serverId <= mainServers(); ++serverId)
        startServer(std::chrono::milliseconds(50 * serverId), service_role::Main, serverId, connectionLimit);
    for (uint32_t serverId = 1; serverId <= secondaryServers(); ++serverId)
        startServer(std::chrono::milliseconds(50 * serverId), service_role::Secondary, 100 + serverId, connectionLimit);
}

void trace_scenario::startServer(duration at, service_role role, uint32_t serverId, uint32_t connectionLimit)
{
    auto const zone = static_cast<uint32_t>(serverId % m_header.zones.size() + 1);
    add(at,
        server_event { serverId, server_event_kind::Start, role == service_role::Main ? mainService : secondaryService,
            zone_id { zone }, isFlessenpost() ? 2U : 3U, connectionLimit });
}

void trace_scenario::addServerEvent(duration at, uint32_t serverId, server_event_kind kind)
{
    add(at, server_event { serverId, kind, {}, {}, 0, 0 });
}

void trace_scenario::addHostEvent(duration at, host_id host, host_event_kind kind)
{
    add(at, host_event { host, kind });
}

void trace_scenario::addPartition(duration at, std::vector<zone_id> zones)
{
    add(at, partition_event { std::move(zones) });
}

void trace_scenario::addFault(duration at, host_id sender, host_id receiver, uint32_t lossPerMille, duration delay)
{
    add(at, message_fault { sender, receiver, lossPerMille, delay });
}

void trace_scenario::addFeeds(duration at, service_role role, uint32_t count, duration startWindow, duration endTime)
{
    duration const interval = 900ms;
    flow_burst burst;
    burst.kind = role == service_role::Secondary ? (isFlessenpost() ? "picture" : "pack")
                                                 : (isFlessenpost() ? "feed" : "refresh");
    burst.count = count;
    burst.spacing = startWindow / count;
    burst.requestCount = static_cast<uint32_t>(std::max<int64_t>((endTime - at - startWindow) / interval, 1));
    burst.requestInterval = interval;
    burst.responseSegments = role == service_role::Secondary ? 6 : 1;
    addFlows(at, role, burst);
}

void trace_scenario::addRequests(duration at, service_role role, uint32_t count, duration startWindow)
{
    flow_burst burst;
    burst.kind = role == service_role::Secondary ? (isFlessenpost() ? "picture" : "pack")
                                                 : (isFlessenpost() ? "order" : "hold");
    burst.count = count;
    burst.spacing = startWindow / count;
    burst.requestCount = 1;
    burst.requestInterval = 30ms;
    burst.responseSegments = role == service_role::Secondary ? 4 : 1;
    addFlows(at, role, burst);
}

void trace_scenario::addFlows(duration at, service_role role, flow_burst burst)
{
    burst.service = role == service_role::Main ? mainService : secondaryService;
    add(at, std::move(burst));
}

void trace_scenario::addChange(
    duration at, size_t control, std::string const& requestId, uint64_t base, uint32_t number)
{
    // Each change sets a different idle timeout of 7 to 16 s, which also differs from the initial one.
    add(at,
        change_input { controlHost(control), requestId, base, "operator", "change " + std::to_string(number),
            configurationYaml(idleSeconds + 1 + number % 10) });
}

} // namespace bilberryyard
