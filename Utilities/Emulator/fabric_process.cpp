#include "fabric_process.h"

#include "stop_signal.h"
#include <OperatorInterface/http_client.h>
#include <iostream>

namespace bilberryyard {

namespace {

    constexpr std::chrono::milliseconds probeInterval { 200 };
    constexpr std::chrono::milliseconds probeTimeout { 500 };

} // namespace

absl::StatusOr<std::unique_ptr<fabric_process>> fabric_process::create(fabric_settings const& settings)
{
    auto io = udp_packet_io::create(settings.listen);
    if (!io.ok())
        return io.status();
    return std::unique_ptr<fabric_process>(new fabric_process(settings, *std::move(io)));
}

fabric_process::fabric_process(fabric_settings const& settings, udp_packet_io io)
    : m_settings(settings)
    , m_io(std::move(io))
    , m_random(settings.seed)
    , m_ready(settings.targets.size())
{
    m_prober = std::make_unique<worker_thread>("prober", [this](std::stop_token const& token) { probe(token); });
}

void fabric_process::probe(std::stop_token const& stopToken)
{
    while (!stopToken.stop_requested()) {
        for (size_t index = 0; index < m_ready.size(); ++index)
            m_ready[index].store(isReady(m_settings.targets[index]), std::memory_order_relaxed);
        std::this_thread::sleep_for(probeInterval);
    }
}

bool fabric_process::isReady(fabric_target const& target) const
{
    http_request const request { "GET", "/readyz", {}, {}, {} };
    auto const response = exchangeHttp({ target.http.address, target.http.port }, request, probeTimeout).response;
    return response.ok() && response->status == 200;
}

void fabric_process::refreshReadyTargets()
{
    m_readyTargets.clear();
    for (size_t index = 0; index < m_ready.size(); ++index) {
        if (m_ready[index].load(std::memory_order_relaxed))
            m_readyTargets.push_back(m_settings.targets[index].packets);
    }
}

void fabric_process::forwardBatch(packet_batch& batch)
{
    std::vector<outgoing_packet> packets;
    packets.reserve(batch.size());
    for (size_t index = 0; index < batch.size(); ++index)
        packets.push_back({ batch.packet(index), m_readyTargets[m_random() % m_readyTargets.size()] });
    m_io.send(packets);
}

void fabric_process::run()
{
    packet_batch batch(128, 2048);
    while (!stopRequested()) {
        if (!m_io.waitReadable(std::chrono::milliseconds(50)))
            continue;
        m_io.receive(batch);
        refreshReadyTargets();
        if (m_readyTargets.empty())
            m_droppedPackets += batch.size();
        else
            forwardBatch(batch);
    }
    auto const counters = m_io.counters();
    std::cout << "fabric: received " << counters.receivedPackets << ", sent " << counters.sentPackets
              << ", kernel drops " << counters.kernelDrops << ", send failures " << counters.sendFailures
              << ", dropped without a ready balancer " << m_droppedPackets << std::endl;
}

} // namespace bilberryyard
