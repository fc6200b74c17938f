#include "packet_worker.h"

namespace bilberryyard {

namespace {

    constexpr std::chrono::milliseconds idleTimeout { 1 };
    // Flow entries checked for expiry after each batch. When idle, a table of 500,000 entries is checked completely
    // about once a minute.
    constexpr size_t entriesPerExpiryStep = 32;
    // One in this many flows is sampled for the handshake statistics.
    constexpr uint32_t handshakeSamplingInterval = 16;
    // Enough for several seconds of sampled handshakes at 20,000 new flows a second.
    constexpr size_t maximumObservedFlows = 8192;
    constexpr std::chrono::seconds handshakeStatisticsInterval { 1 };

} // namespace

absl::StatusOr<std::unique_ptr<packet_worker>> packet_worker::create(
    ip_endpoint const& fabric, ip_endpoint const& relay, processor_settings const& settings)
{
    auto fabricIo = udp_packet_io::create(fabric);
    if (!fabricIo.ok())
        return fabricIo.status();
    auto relayIo = udp_packet_io::create(relay);
    if (!relayIo.ok())
        return relayIo.status();
    return std::unique_ptr<packet_worker>(new packet_worker(*std::move(fabricIo), *std::move(relayIo), settings));
}

packet_worker::packet_worker(udp_packet_io fabric, udp_packet_io relay, processor_settings const& settings)
    : m_fabric(std::move(fabric))
    , m_relay(std::move(relay))
    , m_observer(handshakeSamplingInterval, maximumObservedFlows)
    , m_processor(settings, m_router, m_fabric, m_relay, m_counters, m_observer)
{
    m_thread = std::make_unique<worker_thread>("packets", [this](std::stop_token const& token) { run(token); });
}

void packet_worker::run(std::stop_token const& stopToken)
{
    std::array<udp_packet_io*, 2> const sockets { &m_fabric, &m_relay };
    while (!stopToken.stop_requested()) {
        processInput();
        auto const now = std::chrono::steady_clock::now();
        auto const handled = m_processor.step(now);
        m_router.expire(now, entriesPerExpiryStep);
        sendHandshakeStatistics(now);
        publishCounters();
        if (handled == 0)
            udp_packet_io::waitAnyReadable(sockets, idleTimeout);
    }
}

void packet_worker::processInput()
{
    std::shared_ptr<forwarding_view const> latest;
    while (auto view = m_views.pop())
        latest = *std::move(view);
    if (latest) {
        m_view = latest;
        m_processor.setView(std::move(latest));
    }
    auto const now = std::chrono::steady_clock::now();
    while (auto const command = m_commands.pop())
        execute(*command, now);
    while (auto const task = m_tasks.pop())
        (*task)(m_router);
}

void packet_worker::execute(flow_command const& command, monotonic_time now)
{
    std::visit([&](auto const& value) { execute(value, now); }, command);
}

void packet_worker::execute(export_command const& command, monotonic_time)
{
    m_results.push(export_result {
        command, m_router.exportFlows(command.service, command.buckets, command.cursor, command.maximumFlows) });
}

void packet_worker::execute(import_command const& command, monotonic_time now)
{
    // The router counts imports that do not fit a full table. The filling witness then requests the missing flows from
    // the synchronised witness.
    m_router.importFlows(command.service, command.flows, now).status().IgnoreError();
}

void packet_worker::execute(settle_command const& command, monotonic_time now)
{
    settle_result result { command.service, command.stamp, {} };
    if (!m_view)
        return;
    auto const flowTimeout = m_view->routing->flowIdleTimeout;
    for (auto const index : command.buckets) {
        auto const usage = m_router.usageOf(command.service, index);
        if (usage.differing == 0 && (!usage.lastBaseUse || now - *usage.lastBaseUse >= flowTimeout))
            result.buckets.push_back(index);
    }
    m_results.push(std::move(result));
}

void packet_worker::sendHandshakeStatistics(monotonic_time now)
{
    if (now - m_statisticsSentAt < handshakeStatisticsInterval)
        return;
    m_statisticsSentAt = now;
    auto statistics = m_observer.drain();
    if (!statistics.empty())
        m_results.push(handshake_statistics_result { std::move(statistics) });
}

void packet_worker::publishCounters()
{
    auto const fabric = m_fabric.counters();
    auto const relay = m_relay.counters();
    m_kernelDrops.store(fabric.kernelDrops + relay.kernelDrops, std::memory_order_relaxed);
    m_sendFailures.store(fabric.sendFailures + relay.sendFailures, std::memory_order_relaxed);
    m_flowCount.store(m_router.flows().size(), std::memory_order_relaxed);
}

} // namespace bilberryyard
