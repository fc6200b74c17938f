#include "load_process.h"

#include "stop_signal.h"
#include <Packet/parsed_packet.h>
#include <algorithm>
#include <fstream>
#include <iostream>
#include <numeric>

namespace bilberryyard {

namespace {

    // Longer than the sum of all retransmission timeouts of an emulated connection (26.8 s).
    constexpr std::chrono::seconds responseTimeout { 30 };
    // Callers have addresses in 10.0.0.0/8, which exist only inside the emulated network.
    constexpr uint32_t firstCallerAddress = 0x0A000001;
    constexpr uint16_t firstCallerPort = 10'000;
    constexpr uint32_t portsPerCaller = 50'000;

    constexpr std::array<std::string_view, 7> outcomeNames { "open", "answered", "refused", "not_established", "broken",
        "wrong_answer", "wrong_service" };

    std::string serverOf(emulated_caller const& caller)
    {
        if (!caller.server().empty())
            return caller.server();
        if (!caller.wasEstablished())
            return "-";
        // The most significant byte of the initial sequence number identifies the server, see backend_process.
        return caller.service() + "-" + std::to_string(caller.peerInitialSequence() >> 24);
    }

} // namespace

absl::StatusOr<std::unique_ptr<load_process>> load_process::create(load_settings const& settings)
{
    auto io = udp_packet_io::create(settings.gateway);
    if (!io.ok())
        return io.status();
    return std::unique_ptr<load_process>(new load_process(settings, *std::move(io)));
}

load_process::load_process(load_settings const& settings, udp_packet_io io)
    : m_settings(settings)
    , m_io(std::move(io))
    , m_sender(m_io, settings.fabric)
    , m_random(settings.seed)
{
}

load_summary load_process::run()
{
    packet_batch batch(256, 2048);
    m_start = std::chrono::steady_clock::now();
    auto const end = m_start + m_settings.duration;
    while (!stopRequested() && std::chrono::steady_clock::now() < end) {
        openDueFlows(std::chrono::steady_clock::now());
        step(batch);
    }
    auto const deadline = std::chrono::steady_clock::now() + responseTimeout;
    while (m_pendingRequests > 0 && std::chrono::steady_clock::now() < deadline)
        step(batch);
    // Waits for one more feed interval, so that each feed that is alive receives a last update.
    auto const feedEnd = std::chrono::steady_clock::now() + m_settings.feedInterval;
    while (m_settings.feeds > 0 && std::chrono::steady_clock::now() < feedEnd)
        step(batch);
    finishFeeds();
    std::ofstream(m_settings.flowLog) << m_flowLog;
    auto const counters = m_io.counters();
    std::cout << "load: kernel drops " << counters.kernelDrops << ", send failures " << counters.sendFailures << '\n';
    return m_summary;
}

void load_process::step(packet_batch& batch)
{
    if (m_io.waitReadable(std::chrono::milliseconds(1)))
        receivePackets(batch, std::chrono::steady_clock::now());
    pollTimers(std::chrono::steady_clock::now());
    m_sender.flush();
}

void load_process::openDueFlows(monotonic_time now)
{
    auto const elapsed = std::chrono::duration<double>(now - m_start).count();
    auto const dueRequests = static_cast<uint64_t>(elapsed * m_settings.rate);
    while (m_openedRequests < dueRequests)
        openFlow(m_openedRequests++ % 2 ? request_kind::Document : request_kind::Order, now);
    auto const ramp = std::chrono::duration<double>(m_settings.feedRamp).count();
    auto const dueFeeds = std::min<uint64_t>(
        m_settings.feeds, ramp > 0 ? static_cast<uint64_t>(elapsed / ramp * m_settings.feeds) : m_settings.feeds);
    while (m_openedFeeds < dueFeeds) {
        ++m_openedFeeds;
        openFlow(request_kind::Feed, now);
    }
}

load_target const& load_process::chooseTarget()
{
    auto const total = std::accumulate(m_settings.targets.begin(), m_settings.targets.end(), 0U,
        [](uint32_t sum, load_target const& target) { return sum + target.weight; });
    auto remaining = m_random() % total;
    for (auto const& target : m_settings.targets) {
        if (remaining < target.weight)
            return target;
        remaining -= target.weight;
    }
    return m_settings.targets.back();
}

flow_key load_process::nextKey(load_target const& target)
{
    auto const index = m_nextCallerId;
    return { ip_address::fromIpv4(firstCallerAddress + static_cast<uint32_t>(index / portsPerCaller)),
        target.address.address, static_cast<uint16_t>(firstCallerPort + index % portsPerCaller), target.address.port,
        ip_protocol::Tcp };
}

void load_process::openFlow(request_kind kind, monotonic_time now)
{
    auto const& target = chooseTarget();
    auto const key = nextKey(target);
    auto const callerId = m_nextCallerId++;
    emulated_request const request { kind, m_settings.seed << 40 | callerId,
        kind == request_kind::Document ? m_settings.documentSize : 100, m_settings.feedInterval };
    emulated_caller caller(key, &target.service, request, static_cast<uint32_t>(m_random()), now, m_segments);
    m_callerIds.emplace(reversed(key), callerId);
    auto& stored = m_callers.emplace(callerId, std::move(caller)).first->second;
    if (kind != request_kind::Feed)
        ++m_pendingRequests;
    transmit(callerId, stored);
}

void load_process::receivePackets(packet_batch& batch, monotonic_time now)
{
    m_io.receive(batch);
    for (size_t index = 0; index < batch.size(); ++index) {
        auto const received = readSegment(batch.packet(index));
        if (!received)
            continue;
        auto const entry = m_callerIds.find(received->key);
        if (entry == m_callerIds.end())
            continue;
        auto& caller = m_callers.at(entry->second);
        auto const callerId = entry->second;
        caller.receive(received->segment, now, m_segments);
        transmit(callerId, caller);
        removeIfEnded(callerId);
    }
}

void load_process::pollTimers(monotonic_time now)
{
    while (auto const callerId = m_timers.pollDue(now)) {
        auto const entry = m_callers.find(*callerId);
        if (entry == m_callers.end())
            continue;
        entry->second.poll(now, m_segments);
        transmit(*callerId, entry->second);
        removeIfEnded(*callerId);
    }
}

void load_process::transmit(uint64_t callerId, emulated_caller& caller)
{
    for (auto const& segment : m_segments)
        m_sender.add(caller.key(), segment);
    m_segments.clear();
    m_timers.schedule(callerId, caller.deadline());
}

void load_process::removeIfEnded(uint64_t callerId)
{
    auto const entry = m_callers.find(callerId);
    auto& caller = entry->second;
    if (!caller.hasEnded() || caller.outcome() == caller_outcome::Pending)
        return;
    if (caller.request().kind != request_kind::Feed)
        --m_pendingRequests;
    logFlow(caller);
    m_summary.add(caller);
    m_callerIds.erase(reversed(caller.key()));
    m_callers.erase(entry);
}

void load_process::finishFeeds()
{
    auto const now = std::chrono::steady_clock::now();
    for (auto& [callerId, caller] : m_callers) {
        caller.finishFeed(now, m_segments);
        transmit(callerId, caller);
        logFlow(caller);
        m_summary.add(caller);
    }
    m_sender.flush();
    m_callers.clear();
    m_callerIds.clear();
}

void load_process::logFlow(emulated_caller const& caller)
{
    if (m_settings.flowLog.empty())
        return;
    auto const at = std::chrono::duration_cast<std::chrono::milliseconds>(caller.startedAt() - m_start).count();
    m_flowLog += std::to_string(at) + " " + std::string(outcomeNames[static_cast<size_t>(caller.outcome())]) + " "
        + caller.service() + " " + serverOf(caller) + " " + std::to_string(caller.request().id) + " "
        + caller.key().toText() + "\n";
}

} // namespace bilberryyard
