#include "load_process.h"

#include "stop_signal.h"
#include <Packet/parsed_packet.h>
#include <algorithm>
#include <fstream>
#include <iostream>
#include <numeric>

namespace bilberryyard {

namespace {

    // Longer than all retransmissions of an emulated connection together.
    constexpr std::chrono::seconds answerTimeout { 30 };
    // Callers come from 10.0.0.0/8, which only exists inside the emulated network.
    constexpr uint32_t firstCallerAddress = 0x0A000001;
    constexpr uint16_t firstCallerPort = 10'000;
    constexpr uint32_t portsPerCaller = 50'000;

    constexpr std::array<std::string_view, 7> outcomeNames { "open", "answered", "refused", "not_established", "broken",
        "wrong_answer", "wrong_service" };

    std::string serverOf(emulated_caller const& caller)
    {
        if (!caller.server().empty())
            return caller.server();
        if (!caller.established())
            return "-";
        // See backend_process: the number of the server that took the connection.
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
    auto const deadline = std::chrono::steady_clock::now() + answerTimeout;
    while (m_pendingRequests > 0 && std::chrono::steady_clock::now() < deadline)
        step(batch);
    // A last round of updates proves that each feed is alive at the end.
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
    auto const index = m_nextNumber;
    return { ip_address::fromIpv4(firstCallerAddress + static_cast<uint32_t>(index / portsPerCaller)),
        target.address.address, static_cast<uint16_t>(firstCallerPort + index % portsPerCaller), target.address.port,
        ip_protocol::Tcp };
}

void load_process::openFlow(request_kind kind, monotonic_time now)
{
    auto const& target = chooseTarget();
    auto const key = nextKey(target);
    auto const number = m_nextNumber++;
    emulated_request const request { kind, m_settings.seed << 40 | number,
        kind == request_kind::Document ? m_settings.documentSize : 100, m_settings.feedInterval };
    emulated_caller caller(key, &target.service, request, static_cast<uint32_t>(m_random()), now, m_segments);
    m_numbers.emplace(reversed(key), number);
    auto& stored = m_callers.emplace(number, std::move(caller)).first->second;
    if (kind != request_kind::Feed)
        ++m_pendingRequests;
    transmit(number, stored);
}

void load_process::receivePackets(packet_batch& batch, monotonic_time now)
{
    m_io.receive(batch);
    for (size_t index = 0; index < batch.size(); ++index) {
        auto const received = readSegment(batch.packet(index));
        if (!received)
            continue;
        auto const entry = m_numbers.find(received->key);
        if (entry == m_numbers.end())
            continue;
        auto& caller = m_callers.at(entry->second);
        auto const number = entry->second;
        caller.receive(received->segment, now, m_segments);
        transmit(number, caller);
        endIfDone(number);
    }
}

void load_process::pollTimers(monotonic_time now)
{
    while (auto const number = m_timers.takeDue(now)) {
        auto const entry = m_callers.find(*number);
        if (entry == m_callers.end())
            continue;
        entry->second.poll(now, m_segments);
        transmit(*number, entry->second);
        endIfDone(*number);
    }
}

void load_process::transmit(uint64_t number, emulated_caller& caller)
{
    for (auto const& segment : m_segments)
        m_sender.add(caller.key(), segment);
    m_segments.clear();
    m_timers.schedule(number, caller.deadline());
}

void load_process::endIfDone(uint64_t number)
{
    auto const entry = m_callers.find(number);
    auto& caller = entry->second;
    if (!caller.hasEnded() || caller.outcome() == caller_outcome::Pending)
        return;
    if (caller.request().kind != request_kind::Feed)
        --m_pendingRequests;
    logFlow(caller);
    m_summary.add(caller);
    m_numbers.erase(reversed(caller.key()));
    m_callers.erase(entry);
}

void load_process::finishFeeds()
{
    auto const now = std::chrono::steady_clock::now();
    for (auto& [number, caller] : m_callers) {
        caller.finishFeed(now, m_segments);
        transmit(number, caller);
        logFlow(caller);
        m_summary.add(caller);
    }
    m_sender.flush();
    m_callers.clear();
    m_numbers.clear();
}

void load_process::logFlow(emulated_caller const& caller)
{
    if (m_settings.flowLog.empty())
        return;
    auto const at = std::chrono::duration_cast<std::chrono::milliseconds>(caller.started() - m_start).count();
    m_flowLog += std::to_string(at) + " " + std::string(outcomeNames[static_cast<size_t>(caller.outcome())]) + " "
        + caller.service() + " " + serverOf(caller) + " " + std::to_string(caller.request().id) + " "
        + caller.key().toText() + "\n";
}

} // namespace bilberryyard
