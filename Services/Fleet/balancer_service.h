#pragma once

#include "balancer_control.h"
#include "fleet_settings.h"
#include "packet_format.h"
#include "peer_channel.h"

#include <Base/boot_clock.h>
#include <Base/line_budget.h>
#include <Kernel/metrics_registry.h>
#include <Kernel/wake_signal.h>
#include <Placement/token_router.h>
#include <Transport/datagram_socket.h>
#include <array>
#include <atomic>
#include <memory>
#include <poll.h>
#include <random>
#include <sstream>

namespace bilberryyard {

/// The service of an entry host: forwards packets of callers to backend servers. Uses a single thread because on a
/// fraction of a core, passing packets between threads costs more than processing them.
/// @tparam Format The wire format of packets.
template <packet_format Format>
class balancer_service {
public:
    /// @param settings Settings with the role Balancer.
    /// @param seeds Polled for changed seeds.
    /// @param metrics Must outlive this object.
    /// @return The service; InvalidArgument without a packet endpoint, or the error of a socket.
    static absl::StatusOr<std::unique_ptr<balancer_service>> create(
        fleet_settings const& settings, seed_source seeds, metrics_registry& metrics);

    /// Runs the service on the calling thread until `isStopping` returns true. Then reports that it is not ready, and
    /// keeps forwarding until routers have stopped sending packets here.
    void run(std::function<bool()> const& isStopping);

    /// @return Whether routers may send callers here. Called from any thread.
    bool isReady() const { return m_isReady.load(std::memory_order_relaxed); }

private:
    /// Packets have a header and up to 1,200 bytes of data; the rest is a reserve for other formats.
    static constexpr size_t maximumPacketBytes = 2'048;
    /// Maximum number of packets, and of messages, that one step handles before it checks timers.
    static constexpr int packetsPerStep = 128;
    /// Limits the rounds of packetsPerStep packets that are forwarded after the withdrawal, if callers keep sending.
    static constexpr int maximumFinalRounds = 16;
    /// Buffers packets in the kernel while the process is not scheduled.
    static constexpr int receiveBufferBytes = 1 << 20;
    /// Log lines are written in batches: at this interval while the process is busy, at the next wake-up otherwise.
    static constexpr duration flushInterval = std::chrono::milliseconds(50);
    /// Limits log lines about flows, because writing a line costs about as much as forwarding a packet.
    static constexpr uint32_t flowLinesPerSecond = 100;
    /// The use of the link is logged from this share of its rate in one direction.
    static constexpr double reportedLinkShare = 0.25;
    static constexpr duration sweepInterval = std::chrono::milliseconds(500);
    static constexpr duration departureReportInterval = std::chrono::seconds(1);
    /// Limits the lines about flows that left the zone in each report; the metrics count everything.
    static constexpr size_t maximumDepartureLines = 32;
    /// Until routes and servers are known, packets stay in the socket buffer for up to this long after the start.
    /// Callers do not retransmit opening packets for longer.
    static constexpr duration initialPacketDelay = std::chrono::milliseconds(1'400);
    /// Routers probe every 500 ms and remove a host after two failures; the rest is for packets in flight. A longer
    /// duration would only leave more hosts down at the same time in a rolling restart.
    static constexpr duration withdrawalDuration = std::chrono::milliseconds(1'250);

    balancer_service(fleet_settings const& settings, seed_source seeds, metrics_registry& metrics,
        datagram_socket packets, peer_channel channel);

    static placement_settings makePlacementSettings(fleet_settings const& settings)
    {
        placement_settings result;
        result.announcementInterval = settings.announcementInterval;
        result.linkBytesPerSecond = settings.linkBytesPerSecond;
        result.zoneSpill.transferCostPerKilobyte = settings.zoneTransferCostPerKilobyte;
        return result;
    }

    void step();
    void wait(monotonic_time now);
    bool mayReadPackets(monotonic_time now) const
    {
        return m_control.isReady() || now >= m_startedAt + initialPacketDelay;
    }
    void receiveMessages();
    /// @return Number of packets that were received.
    int receivePackets();
    void forward(std::span<uint8_t> packet, caller_packet const& decoded, monotonic_time now);
    void sendReset(caller_packet const& packet, reset_reason reason);
    void logFlow(
        log_event const& event, caller_packet const& packet, uint32_t token, char const* outcome, monotonic_time now);
    /// @return What the decision to reset the flow was based on, for a log line.
    std::string evidenceOf(caller_packet const& packet, reset_flow const& reset, monotonic_time now);
    void reportDepartures(monotonic_time now);
    void maintain(monotonic_time now);
    /// Updates metrics and logs what was rejected for the sake of servers that are warming up.
    void maintainWarmUp(monotonic_time now);
    /// Reports the use of the link since the last call, about once a second.
    void reportLink(monotonic_time now);

    fleet_settings m_settings;
    seed_source m_seedSource;
    metrics_registry& m_metrics;
    event_logger m_logger { "balancer" };
    datagram_socket m_packets;
    peer_channel m_channel;
    token_router m_router;
    balancer_control m_control;
    std::atomic<bool> m_isReady { false };
    bool m_isWithdrawn = false;
    monotonic_time m_startedAt;
    monotonic_time m_sweptAt;
    monotonic_time m_departuresReportedAt;
    monotonic_time m_flushedAt;
    /// Use of the link since it was last reported.
    struct link_use {
        uint64_t receivedBytes = 0;
        uint64_t sentBytes = 0;
        uint64_t receivedPackets = 0;
        uint64_t repeatedPackets = 0;
        /// Most packets that were waiting in the socket at once.
        int largestBatch = 0;
    };
    link_use m_linkUse;
    monotonic_time m_linkReportedAt;
    line_budget m_flowLineBudget { flowLinesPerSecond };
    std::array<uint8_t, Format::prefixBytes + maximumPacketBytes> m_buffer {};
};

template <packet_format Format>
absl::StatusOr<std::unique_ptr<balancer_service<Format>>> balancer_service<Format>::create(
    fleet_settings const& settings, seed_source seeds, metrics_registry& metrics)
{
    if (!settings.packetEndpoint)
        return makeError(error_kind::InvalidArgument, "the settings of a balancer have no packet endpoint");
    auto packets = datagram_socket::create(*settings.packetEndpoint, receiveBufferBytes);
    if (!packets.ok())
        return packets.status();
    auto channel = peer_channel::create({ settings.address, settings.peerPort });
    if (!channel.ok())
        return channel.status();
    return std::unique_ptr<balancer_service>(
        new balancer_service(settings, std::move(seeds), metrics, *std::move(packets), *std::move(channel)));
}

template <packet_format Format>
balancer_service<Format>::balancer_service(fleet_settings const& settings, seed_source seeds, metrics_registry& metrics,
    datagram_socket packets, peer_channel channel)
    : m_settings(settings)
    , m_seedSource(std::move(seeds))
    , m_metrics(metrics)
    , m_packets(std::move(packets))
    , m_channel(std::move(channel))
    , m_router(makePlacementSettings(settings), settings.zone, std::random_device()())
    , m_control(settings, m_channel, m_router, bootTime())
    , m_startedAt(bootTime())
{
}

template <packet_format Format>
void balancer_service<Format>::run(std::function<bool()> const& isStopping)
{
    while (!isStopping())
        step();
    m_isWithdrawn = true;
    m_isReady = false;
    m_logger.emit(events::readinessChanged, "ready=no reason=stopping");
    auto const end = bootTime() + std::min(withdrawalDuration, m_settings.terminationGrace / 2);
    while (bootTime() < end)
        step();
    // Packets that have arrived by now are lost when the socket is closed.
    for (int round = 0; round < maximumFinalRounds && receivePackets() > 0; ++round) { }
}

template <packet_format Format>
void balancer_service<Format>::step()
{
    auto const now = bootTime();
    m_control.step(now);
    if (now - m_sweptAt >= sweepInterval)
        maintain(now);
    bool const isReady = m_control.isReady() && !m_isWithdrawn;
    if (isReady != m_isReady) {
        m_isReady = isReady;
        m_logger.emit(events::readinessChanged, isReady ? "ready=yes" : "ready=no");
    }
    if (now - m_flushedAt >= flushInterval) {
        m_flushedAt = now;
        event_logger::flush();
    }
    wait(now);
    receiveMessages();
    m_control.updateReadiness(bootTime());
    if (mayReadPackets(bootTime()))
        receivePackets();
}

template <packet_format Format>
void balancer_service<Format>::wait(monotonic_time now)
{
    auto deadline = std::min(m_control.nextDeadline(now), m_sweptAt + sweepInterval);
    bool const readsPackets = mayReadPackets(now);
    if (!readsPackets)
        deadline = std::min(deadline, m_startedAt + initialPacketDelay);
    auto const remaining
        = std::chrono::ceil<std::chrono::milliseconds>(std::max(deadline - now, duration::zero())).count();
    std::array<pollfd, 2> descriptors { pollfd { readsPackets ? m_packets.descriptor() : -1, POLLIN, 0 },
        pollfd { m_channel.descriptor(), POLLIN, 0 } };
    poll(descriptors.data(), descriptors.size(), static_cast<int>(remaining));
}

template <packet_format Format>
void balancer_service<Format>::receiveMessages()
{
    bool isEmpty = false;
    for (int count = 0; count < packetsPerStep && !isEmpty; ++count) {
        auto const now = bootTime();
        if (auto const message = m_channel.receive(now, isEmpty))
            m_control.receive(message->sender, message->message, now);
    }
}

template <packet_format Format>
int balancer_service<Format>::receivePackets()
{
    std::span const room = std::span(m_buffer).subspan(Format::prefixBytes);
    datagram_socket::received datagram;
    auto const now = bootTime();
    int count = 0;
    for (; count < packetsPerStep && m_packets.receive(room, datagram); ++count) {
        auto const packet = room.first(datagram.size);
        m_linkUse.receivedBytes += datagram.size;
        ++m_linkUse.receivedPackets;
        auto const decoded = Format::parse(packet);
        if (decoded)
            // A grant may have ended while earlier packets were forwarded, or while the process was suspended.
            forward(packet, *decoded, decoded->purpose == packet_purpose::Open ? bootTime() : now);
        else
            m_metrics.counter("packets_unreadable_total").add();
    }
    m_linkUse.largestBatch = std::max(m_linkUse.largestBatch, count);
    return count;
}

template <packet_format Format>
void balancer_service<Format>::forward(std::span<uint8_t> packet, caller_packet const& decoded, monotonic_time now)
{
    auto const decision = m_router.decide(decoded, now);
    if (auto const* const target = std::get_if<forward_packet>(&decision)) {
        if (decoded.purpose == packet_purpose::Open) {
            Format::setToken(packet, target->token);
            logFlow(events::flowPlaced, decoded, target->token, "forwarded", now);
        }
        std::span<uint8_t, Format::prefixBytes> const prefix(m_buffer.data(), Format::prefixBytes);
        Format::writePrefix(prefix, target->tag);
        m_linkUse.sentBytes += Format::prefixBytes + packet.size();
        if (target->novelty == packet_novelty::Repeated)
            ++m_linkUse.repeatedPackets;
        m_packets.send(
            target->address, { reinterpret_cast<char const*>(m_buffer.data()), Format::prefixBytes + packet.size() });
        return;
    }
    if (auto const* const refusal = std::get_if<reset_flow>(&decision)) {
        sendReset(decoded, refusal->reason);
        std::string outcome = nameOf(refusal->reason);
        if (refusal->reason == reset_reason::Overloaded) {
            auto const lowerQuartile
                = std::chrono::duration_cast<std::chrono::milliseconds>(refusal->lowerQuartileResponseTime);
            outcome += " quick_ms=" + std::to_string(lowerQuartile.count());
        }
        outcome += evidenceOf(decoded, *refusal, now);
        logFlow(events::flowReset, decoded, decoded.token, outcome.c_str(), now);
        return;
    }
    auto const reason = std::get<discard_packet>(decision).reason;
    m_metrics.counter(std::string("packets_dropped_") + nameOf(reason) + "_total").add();
    logFlow(events::packetDropped, decoded, decoded.token, nameOf(reason), now);
}

template <packet_format Format>
void balancer_service<Format>::logFlow(
    log_event const& event, caller_packet const& packet, uint32_t token, char const* outcome, monotonic_time now)
{
    if (!m_flowLineBudget.tryAcquire(now))
        return;
    std::ostringstream line;
    line << "flow=" << packet.flowEndpoints.caller.toText() << ">" << packet.flowEndpoints.service.toText()
         << " copy=" << packet.retransmissionCount << " token=" << token << " version=" << m_router.version();
    if (auto const* const backend = m_router.pool().find(token)) {
        auto const& load = backend->load;
        auto const sinceLastSeen
            = std::chrono::duration_cast<std::chrono::milliseconds>(now - backend->liveness.latest());
        line << " server=" << backend->entry.announcement.id << " zone=" << backend->entry.announcement.zone
             << " state=" << static_cast<int>(backend->entry.state()) << " busy=" << load.busy
             << " opening=" << load.opening << " open=" << load.open
             << " unanswered=" << load.retransmissionsSinceResponse << " slowness=" << load.slowness
             << " heard_ms=" << sinceLastSeen.count();
    }
    line << " outcome=" << outcome;
    m_logger.emit(event, line.str());
}

template <packet_format Format>
std::string balancer_service<Format>::evidenceOf(
    caller_packet const& packet, reset_flow const& reset, monotonic_time now)
{
    auto const milliseconds
        = [](duration value) { return std::chrono::duration_cast<std::chrono::milliseconds>(value).count(); };
    // -1 for something that has never happened.
    auto const since
        = [&](monotonic_time time) { return time == monotonic_time() ? int64_t { -1 } : milliseconds(now - time); };
    std::ostringstream text;
    bool const isTracked = reset.observation.token != noToken;
    text << " purpose=" << nameOf(packet.purpose) << " data=" << packet.payloadBytes
         << " tracked=" << reset.observation.token
         << " flow_ms=" << (isTracked ? milliseconds(reset.observation.age) : -1)
         << " data_ms=" << (isTracked ? milliseconds(reset.observation.sinceData) : -1);
    if (auto const* const backend = m_router.pool().find(packet.token)) {
        text << " response_ms=" << since(backend->load.lastResponseAt)
             << " silent_ms=" << since(backend->load.withoutResponseSince)
             << " announced_ms=" << since(backend->announcedAt)
             << " checked_ms=" << since(backend->announcementCheckedAt)
             << " leaving_ms=" << since(backend->entry.leavingSince)
             << " displaced_by=" << (backend->entry.displacedBy.empty() ? "-" : backend->entry.displacedBy);
    }
    text << " control_hosts=" << m_control.reachableControlCount(now);
    return text.str();
}

template <packet_format Format>
void balancer_service<Format>::sendReset(caller_packet const& packet, reset_reason reason)
{
    m_metrics.counter(std::string("flows_reset_") + nameOf(reason) + "_total").add();
    // Callers receive packets on the same port as balancers.
    m_packets.send({ packet.flowEndpoints.caller.address, m_settings.packetEndpoint->port }, Format::makeReset(packet));
}

template <packet_format Format>
void balancer_service<Format>::maintainWarmUp(monotonic_time now)
{
    auto& warmUp = m_router.pool().warmUp();
    if (!warmUp.hasLimits())
        return;
    auto const warming = m_router.pool().limitedServers(now).size();
    for (auto const& [service, count] : warmUp.drainRejections())
        m_logger.emit(events::warmUpLimitReached,
            "service=" + service + " rejected=" + std::to_string(count) + " warming=" + std::to_string(warming)
                + " granted=" + std::to_string(warmUp.grantedCount()) + " used=" + std::to_string(warmUp.usedCount()));
    m_metrics.setGauge("balancer_servers_warming_up", static_cast<double>(warming));
    m_metrics.setGauge("balancer_warm_up_requests_granted", static_cast<double>(warmUp.grantedCount()));
    m_metrics.setGauge("balancer_warm_up_flows_placed", static_cast<double>(warmUp.usedCount()));
}

template <packet_format Format>
void balancer_service<Format>::reportLink(monotonic_time now)
{
    auto const elapsed = std::chrono::duration<double>(now - m_linkReportedAt).count();
    if (elapsed < 1)
        return;
    auto const use = std::exchange(m_linkUse, {});
    m_linkReportedAt = now;
    m_metrics.counter("link_received_bytes_total").add(use.receivedBytes);
    m_metrics.counter("link_sent_bytes_total").add(use.sentBytes);
    m_metrics.counter("packets_repeated_total").add(use.repeatedPackets);
    auto const rate = static_cast<double>(m_settings.linkBytesPerSecond) * elapsed;
    if (rate <= 0 || static_cast<double>(std::max(use.receivedBytes, use.sentBytes)) < reportedLinkShare * rate)
        return;
    std::ostringstream line;
    line << "received=" << use.receivedBytes << " sent=" << use.sentBytes << " rate=" << static_cast<uint64_t>(rate)
         << " packets=" << use.receivedPackets << " repeated=" << use.repeatedPackets << " batch=" << use.largestBatch
         << " uploads=" << m_router.link().flows() << " on_the_way=" << m_router.link().bytesOnTheWay()
         << " room=" << m_router.link().room();
    m_logger.emit(events::linkLoaded, line.str());
}

template <packet_format Format>
void balancer_service<Format>::reportDepartures(monotonic_time now)
{
    if (now - m_departuresReportedAt < departureReportInterval)
        return;
    m_departuresReportedAt = now;
    auto const milliseconds = [](duration value) { return std::chrono::duration<double, std::milli>(value).count(); };
    auto& spill = m_router.pool().spill();
    size_t lineCount = 0;
    for (auto const& item : spill.drainDepartures()) {
        std::string const kind = nameOf(item.kind);
        m_metrics.counter("flows_left_zone_" + kind + "_total").add(item.flows);
        m_metrics.counter("flows_left_zone_" + kind + "_bytes_total").add(item.bytes);
        if (lineCount++ >= maximumDepartureLines)
            continue;
        std::ostringstream line;
        line << "service=" << item.service << " kind=" << kind << " zone=" << item.zone << " flows=" << item.flows
             << " bytes=" << item.bytes << " share=" << item.comparison.share
             << " own_ms=" << milliseconds(item.comparison.ownTime)
             << " remote_ms=" << milliseconds(item.comparison.remoteTime)
             << " distance_ms=" << milliseconds(spill.distanceTo(spill.indexOf(item.zone)));
        m_logger.emit(events::flowsLeftZone, line.str());
    }
}

template <packet_format Format>
void balancer_service<Format>::maintain(monotonic_time now)
{
    m_sweptAt = now;
    m_router.sweep(now);
    reportLink(now);
    reportDepartures(now);
    if (auto const seeds = m_seedSource()) {
        m_control.setSeeds(*seeds);
        m_logger.emit(events::settingsReloaded, "seeds=" + std::to_string(seeds->size()));
    }
    if (auto const count = m_flowLineBudget.drainSuppressedCount(); count > 0)
        m_logger.emit(events::linesSuppressed, "count=" + std::to_string(count));
    for (auto const& [id, durationMs] : m_router.pool().drainEjections()) {
        m_logger.emit(events::serverEjected, "server=" + id + " for_ms=" + std::to_string(durationMs));
        m_metrics.counter("servers_ejected_total").add();
    }
    for (auto const sample : m_router.pool().drainResponseTimes())
        m_metrics.distribution("backend_response_seconds").add(sample);
    maintainWarmUp(now);
    m_metrics.setGauge("balancer_evacuated_zones", static_cast<double>(m_router.pool().evacuations().zones.size()));
    m_metrics.setGauge("balancer_evacuated_zone_flows", static_cast<double>(m_router.pool().evacuatedZoneFlows()));
    m_metrics.setGauge("link_bulk_flows", static_cast<double>(m_router.link().flows()));
    m_metrics.setGauge("link_bulk_bytes", static_cast<double>(m_router.link().bytesOnTheWay()));
    m_metrics.setGauge("balancer_untrusted_servers", static_cast<double>(m_router.pool().evidence().untrustedCount()));
    m_metrics.setGauge(
        "balancer_conspicuous_requests", static_cast<double>(m_router.pool().evidence().conspicuousCount()));
    m_metrics.setGauge("balancer_configuration_version", static_cast<double>(m_router.version()));
    m_metrics.setGauge("balancer_backends", static_cast<double>(m_router.pool().size()));
    m_metrics.setGauge("balancer_contested_addresses", static_cast<double>(m_control.contestedAddressCount()));
    m_metrics.setGauge("balancer_observed_flows", static_cast<double>(m_router.observedFlows()));
    m_metrics.setGauge("peer_sent_bytes", static_cast<double>(m_channel.sentBytes()));
    m_metrics.setGauge("peer_received_bytes", static_cast<double>(m_channel.receivedBytes()));
    m_metrics.setGauge("peer_messages_refused", static_cast<double>(m_channel.refused()));
}

} // namespace bilberryyard
