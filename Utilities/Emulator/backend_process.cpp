#include "backend_process.h"

#include "stop_signal.h"
#include <Packet/gue_encapsulation.h>
#include <Packet/parsed_packet.h>
#include <fstream>
#include <iostream>

namespace bilberryyard {

namespace {

    constexpr std::chrono::milliseconds loadUpdateInterval { 200 };

} // namespace

absl::StatusOr<std::unique_ptr<backend_process>> backend_process::create(backend_settings const& settings)
{
    auto io = udp_packet_io::create(settings.listen);
    if (!io.ok())
        return io.status();
    return std::unique_ptr<backend_process>(new backend_process(settings, *std::move(io)));
}

backend_process::backend_process(backend_settings const& settings, udp_packet_io io)
    : m_settings(settings)
    , m_io(std::move(io))
    , m_sender(m_io, settings.callerGateway)
    , m_application(settings.application)
    , m_random(settings.listen.port)
    , m_incarnation(static_cast<uint64_t>(std::chrono::system_clock::now().time_since_epoch().count()))
{
}

void backend_process::run()
{
    packet_batch batch(128, 2048);
    auto const started = std::chrono::steady_clock::now();
    auto nextAnnouncement = started;
    monotonic_time drainEnd = monotonic_time::max();
    while (true) {
        auto now = std::chrono::steady_clock::now();
        if (stopRequested() && drainEnd == monotonic_time::max()) {
            drainEnd = now + m_settings.drainTimeout;
            nextAnnouncement = now;
        }
        if (now >= drainEnd
            || (drainEnd != monotonic_time::max() && m_connections.empty()
                && now > drainEnd - m_settings.drainTimeout + std::chrono::seconds(3)))
            break;
        if (now >= nextAnnouncement) {
            bool const isStarting = now - started < m_settings.startDelay;
            announce(drainEnd != monotonic_time::max() ? "draining" : (isStarting ? "starting" : "serving"));
            nextAnnouncement = now + loadUpdateInterval;
        }
        if (m_io.waitReadable(std::chrono::milliseconds(1)))
            receivePackets(batch, std::chrono::steady_clock::now());
        pollTimers(std::chrono::steady_clock::now());
        m_sender.flush();
    }
    writeExecutionLog();
    std::cout << m_settings.application.server << ": connections " << m_acceptedCount << ", completed "
              << m_application.completedCount() << ", open at exit " << m_connections.size()
              << ", segments of unknown connections " << m_unknownSegmentCount << ", kernel drops "
              << m_io.counters().kernelDrops << std::endl;
}

void backend_process::announce(std::string const& state)
{
    announced_server const value { m_settings.application.service, m_settings.listen, m_settings.zone, state,
        m_settings.application.slots, m_settings.connectionLimit, m_application.busySlots(), m_application.queued(),
        static_cast<uint32_t>(m_connections.size()), m_incarnation };
    if (m_announcer)
        m_announcer->update(value);
    else
        m_announcer = std::make_unique<announcer>(m_settings.entryHosts, value);
}

void backend_process::receivePackets(packet_batch& batch, monotonic_time now)
{
    m_io.receive(batch);
    for (size_t index = 0; index < batch.size(); ++index) {
        auto const inner = decapsulateGue(batch.packet(index));
        if (!inner)
            continue;
        if (auto const received = readSegment(*inner))
            handleSegment(*received, now);
    }
}

void backend_process::handleSegment(received_segment const& received, monotonic_time now)
{
    auto const entry = m_connectionIds.find(received.key);
    if (entry != m_connectionIds.end()) {
        auto const connectionId = entry->second;
        auto& value = m_connections.at(connectionId);
        value.endpoint.receive(received.segment, now, m_segments);
        transmit(connectionId, value);
        std::vector<application_output> outputs;
        m_application.receive(connectionId, value.endpoint.received(), now, outputs);
        deliver(outputs, now);
        removeIfEnded(connectionId);
        return;
    }
    auto const flags = received.segment.flags;
    if (flags & tcp_flags::rst)
        return;
    if (!(flags & tcp_flags::syn)) {
        // RFC 9293 section 3.10.7.1: the reply to a segment of an unknown connection is an RST.
        ++m_unknownSegmentCount;
        m_sender.add(reversed(received.key), { received.segment.acknowledgement, 0, tcp_flags::rst, {} });
        return;
    }
    ++m_acceptedCount;
    auto const connectionId = m_nextConnectionId++;
    // The most significant byte of the initial sequence number is the last byte of the server's address. A caller
    // can thus identify the server of a connection that was accepted but never received a response.
    auto const initialSequence
        = static_cast<uint32_t>(m_settings.listen.address.bytes.back()) << 24 | (m_random() & 0xffffff);
    auto endpoint = tcp_connection::accept(received.segment, static_cast<uint32_t>(initialSequence), now, m_segments);
    auto& value = m_connections.emplace(connectionId, connection { received.key, std::move(endpoint) }).first->second;
    m_connectionIds.emplace(received.key, connectionId);
    transmit(connectionId, value);
}

void backend_process::pollTimers(monotonic_time now)
{
    std::vector<application_output> outputs;
    m_application.poll(now, outputs);
    deliver(outputs, now);
    while (auto const connectionId = m_timers.pollDue(now)) {
        auto const entry = m_connections.find(*connectionId);
        if (entry == m_connections.end())
            continue;
        entry->second.endpoint.poll(now, m_segments);
        transmit(*connectionId, entry->second);
        removeIfEnded(*connectionId);
    }
}

void backend_process::deliver(std::vector<application_output> const& outputs, monotonic_time now)
{
    for (auto const& output : outputs) {
        auto const entry = m_connections.find(output.connection);
        if (entry == m_connections.end())
            continue;
        entry->second.endpoint.write(output.payload, now, m_segments);
        if (output.closes)
            entry->second.endpoint.close(now, m_segments);
        transmit(output.connection, entry->second);
    }
}

void backend_process::transmit(uint64_t connectionId, connection& value)
{
    auto const key = reversed(value.key);
    for (auto const& segment : m_segments)
        m_sender.add(key, segment);
    m_segments.clear();
    m_timers.schedule(connectionId, value.endpoint.deadline());
}

void backend_process::removeIfEnded(uint64_t connectionId)
{
    auto const entry = m_connections.find(connectionId);
    if (entry == m_connections.end() || !entry->second.endpoint.hasEnded())
        return;
    m_application.connectionEnded(connectionId);
    m_connectionIds.erase(entry->second.key);
    m_connections.erase(entry);
}

void backend_process::writeExecutionLog() const
{
    if (m_settings.executionLog.empty())
        return;
    std::ofstream file(m_settings.executionLog);
    for (auto const& [id, count] : m_application.executions()) {
        for (uint32_t repetition = 0; repetition < count; ++repetition)
            file << id << '\n';
    }
}

} // namespace bilberryyard
