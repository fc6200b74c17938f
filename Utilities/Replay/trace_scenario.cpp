#include "trace_scenario.h"

#include <algorithm>

namespace bilberryyard {

namespace {

    using namespace std::chrono_literals;

    // Flows live for about half a minute, so that buckets can settle within a trace.
    constexpr uint32_t idleSeconds = 6;
    constexpr service_id mainService { 1 };
    constexpr service_id sideService { 2 };

    uint64_t seedOf(std::string const& name)
    {
        uint64_t seed = 20'261'204;
        for (auto const letter : name)
            seed = seed * 131 + static_cast<uint8_t>(letter);
        return seed;
    }

} // namespace

trace_scenario::trace_scenario(deployment where, std::string const& name, duration length)
    : m_where(where)
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

void trace_scenario::startServers(uint32_t limit)
{
    for (uint32_t number = 1; number <= mainServers(); ++number)
        startServer(std::chrono::milliseconds(50 * number), work::Main, number, limit);
    for (uint32_t number = 1; number <= sideServers(); ++number)
        startServer(std::chrono::milliseconds(50 * number), work::Side, 100 + number, limit);
}

void trace_scenario::startServer(duration at, work what, uint32_t number, uint32_t limit)
{
    auto const zone = static_cast<uint32_t>(number % m_header.zones.size() + 1);
    add(at,
        server_event { number, server_event_kind::Start, what == work::Main ? mainService : sideService,
            zone_id { zone }, isFlessenpost() ? 2U : 3U, limit });
}

void trace_scenario::serverEvent(duration at, uint32_t number, server_event_kind kind)
{
    add(at, server_event { number, kind, {}, {}, 0, 0 });
}

void trace_scenario::hostEvent(duration at, host_id host, host_event_kind kind) { add(at, host_event { host, kind }); }

void trace_scenario::partition(duration at, std::vector<zone_id> zones)
{
    add(at, partition_event { std::move(zones) });
}

void trace_scenario::fault(duration at, host_id sender, host_id receiver, uint32_t lossPerMille, duration delay)
{
    add(at, message_fault { sender, receiver, lossPerMille, delay });
}

void trace_scenario::feeds(duration at, work what, uint32_t count, duration over, duration until)
{
    duration const interval = 900ms;
    flow_burst burst;
    burst.kind = what == work::Side ? (isFlessenpost() ? "picture" : "pack") : (isFlessenpost() ? "feed" : "refresh");
    burst.count = count;
    burst.spacing = over / count;
    burst.segments = static_cast<uint32_t>(std::max<int64_t>((until - at - over) / interval, 1));
    burst.segmentInterval = interval;
    burst.answerParts = what == work::Side ? 6 : 1;
    flows(at, what, burst);
}

void trace_scenario::requests(duration at, work what, uint32_t count, duration over)
{
    flow_burst burst;
    burst.kind = what == work::Side ? (isFlessenpost() ? "picture" : "pack") : (isFlessenpost() ? "order" : "hold");
    burst.count = count;
    burst.spacing = over / count;
    burst.segments = 1;
    burst.segmentInterval = 30ms;
    burst.answerParts = what == work::Side ? 4 : 1;
    flows(at, what, burst);
}

void trace_scenario::flows(duration at, work what, flow_burst burst)
{
    burst.service = what == work::Main ? mainService : sideService;
    add(at, std::move(burst));
}

void trace_scenario::change(duration at, size_t control, std::string const& requestId, uint64_t base, uint32_t number)
{
    // A different idle timeout makes each change visible; 7 to 16 s keep it away from the first one.
    add(at,
        change_input { controlHost(control), requestId, base, "operator", "change " + std::to_string(number),
            configurationYaml(idleSeconds + 1 + number % 10) });
}

} // namespace bilberryyard
