#pragma once

#include <Coordination/forwarding_view.h>
#include <Forwarding/handshake_observer.h>
#include <Forwarding/processor_counters.h>
#include <Forwarding/processor_settings.h>
#include <Packet/gue_encapsulation.h>
#include <Packet/packet_batch.h>
#include <Packet/packet_io.h>
#include <Packet/rejection.h>
#include <Packet/relay_header.h>
#include <Routing/forwarding_action.h>
#include <algorithm>
#include <array>
#include <memory>
#include <span>
#include <unordered_map>
#include <vector>

namespace bilberryyard {

/// Forwards packets between the fabric, peers and backend servers. A router decides about each packet.
/// @tparam Router Forwarding policy.
/// @tparam Io Receives and sends packets.
template <packet_router Router, packet_io Io>
class packet_processor {
public:
    /// @param router Must outlive the processor.
    /// @param fabric For packets from the fabric, and for packets to servers and callers. Must outlive the processor.
    /// @param relay For packets from and to peers. Must outlive the processor.
    /// @param counters Must outlive the processor.
    /// @param observer Receives each packet that is sent to a server. Must outlive the processor.
    packet_processor(processor_settings const& settings, Router& router, Io& fabric, Io& relay,
        processor_counters& counters, handshake_observer& observer)
        : m_settings(settings)
        , m_router(router)
        , m_fabric(fabric)
        , m_relay(relay)
        , m_counters(counters)
        , m_observer(observer)
        , m_batch(batchSize, maximumPacketSize)
    {
        for (auto const& [host, endpoint] : settings.peers)
            m_peerEndpoints.push_back(endpoint);
    }

    /// Replaces the view. Packets are only processed once there is one.
    void setView(std::shared_ptr<forwarding_view const> view)
    {
        m_view = std::move(view);
        m_router.setView(m_view->routing);
        m_servers.clear();
        for (auto const& [server, endpoint] : m_view->servers)
            m_servers.emplace(server, endpoint);
    }

    /// Processes at most one batch of packets from the fabric and one from peers.
    /// @return Number of packets processed.
    size_t step(monotonic_time now)
    {
        if (!m_view)
            return 0;
        auto const fromFabric = m_fabric.receive(m_batch);
        m_counters.fromFabric.fetch_add(fromFabric, std::memory_order_relaxed);
        for (size_t index = 0; index < m_batch.size(); ++index)
            handleFabricPacket(index, now);
        flush();
        auto const fromPeers = m_relay.receive(m_batch);
        m_counters.fromPeers.fetch_add(fromPeers, std::memory_order_relaxed);
        for (size_t index = 0; index < m_batch.size(); ++index)
            handleRelayedPacket(index, now);
        flush();
        return fromFabric + fromPeers;
    }

private:
    static constexpr size_t batchSize = 128;
    // In bytes; an Ethernet jumbo frame is the largest packet that a fabric delivers.
    static constexpr size_t maximumPacketSize = 9216;

    void handleFabricPacket(size_t index, monotonic_time now)
    {
        handle(m_batch.buffer(index), packetHeadroom, std::nullopt, now);
    }

    void handleRelayedPacket(size_t index, monotonic_time now)
    {
        auto const header = isPeer(m_batch.sender(index)) ? decodeRelayHeader(m_batch.packet(index)) : std::nullopt;
        if (!header)
            return drop(drop_reason::BadRelayHeader);
        handle(m_batch.buffer(index), packetHeadroom + relayHeaderSize, header, now);
    }

    bool isPeer(ip_endpoint const& sender) const
    {
        return std::find(m_peerEndpoints.begin(), m_peerEndpoints.end(), sender) != m_peerEndpoints.end();
    }

    void handle(std::span<uint8_t> buffer, size_t offset, packet_origin const& origin, monotonic_time now)
    {
        auto const packet = buffer.subspan(offset);
        auto const parsed = parsePacket(packet);
        if (auto const* reason = std::get_if<drop_reason>(&parsed))
            return drop(*reason);
        auto const& value = std::get<parsed_packet>(parsed);
        auto const action = m_router.route(value, origin, now);
        auto const queued = m_toFabric.size();
        std::visit([&](auto const& chosen) { perform(chosen, buffer, offset, now); }, action);
        auto const* forward = std::get_if<forward_to_server>(&action);
        // A packet that was dropped because its server has no endpoint is no failed handshake of the server.
        if (forward && m_toFabric.size() > queued)
            m_observer.recordForwarded(value, hashFlow(value.key, m_view->routing->hashSeed), forward->server);
    }

    void perform(forward_to_server const& action, std::span<uint8_t> buffer, size_t offset, monotonic_time)
    {
        auto const server = m_servers.find(action.server);
        if (server == m_servers.end())
            return drop(drop_reason::NoServer);
        auto const datagram = encapsulateGue(buffer, offset);
        if (!datagram)
            return drop(drop_reason::BadLength);
        m_counters.toServers.fetch_add(1, std::memory_order_relaxed);
        m_toFabric.push_back({ *datagram, server->second });
    }

    void perform(relay_to_host const& action, std::span<uint8_t> buffer, size_t offset, monotonic_time)
    {
        auto const peer = m_settings.peers.find(action.host);
        if (peer == m_settings.peers.end())
            return drop(drop_reason::NoPeer);
        auto const datagram = prependRelayHeader(buffer, offset, action.header);
        if (!datagram)
            return drop(drop_reason::BadLength);
        m_counters.toPeers.fetch_add(1, std::memory_order_relaxed);
        m_toPeers.push_back({ *datagram, peer->second });
    }

    void perform(reject_packet const& action, std::span<uint8_t> buffer, size_t offset, monotonic_time now)
    {
        auto const packet = buffer.subspan(offset);
        std::array<uint8_t, maximumRejectionSize> rejection {};
        auto const size = action.kind == rejection_kind::PortUnreachable ? buildPortUnreachable(packet, rejection)
                                                                         : buildTcpReset(packet, rejection);
        if (!size || !tryAcquireRejection(now)) {
            m_counters.rejectionsSuppressed.fetch_add(1, std::memory_order_relaxed);
            return;
        }
        m_counters.rejected.fetch_add(1, std::memory_order_relaxed);
        std::array<outgoing_packet, 1> const packets { outgoing_packet {
            std::span<uint8_t const>(rejection).first(*size), m_settings.callerGateway } };
        m_fabric.send(packets);
    }

    void perform(drop_packet const& action, std::span<uint8_t>, size_t, monotonic_time) { drop(action.reason); }

    void drop(drop_reason reason)
    {
        m_counters.dropped[static_cast<size_t>(reason)].fetch_add(1, std::memory_order_relaxed);
    }

    /// @return Whether the rate limit allows another rejection; counts it if so.
    bool tryAcquireRejection(monotonic_time now)
    {
        if (now - m_rejectionWindowStart >= std::chrono::seconds(1)) {
            m_rejectionWindowStart = now;
            m_rejections = 0;
        }
        return m_rejections++ < m_settings.rejectionsPerSecond;
    }

    void flush()
    {
        m_fabric.send(m_toFabric);
        m_relay.send(m_toPeers);
        m_toFabric.clear();
        m_toPeers.clear();
    }

    processor_settings m_settings;
    Router& m_router;
    Io& m_fabric;
    Io& m_relay;
    processor_counters& m_counters;
    handshake_observer& m_observer;
    packet_batch m_batch;
    std::shared_ptr<forwarding_view const> m_view;
    std::unordered_map<server_id, ip_endpoint> m_servers;
    std::vector<ip_endpoint> m_peerEndpoints;
    std::vector<outgoing_packet> m_toFabric;
    std::vector<outgoing_packet> m_toPeers;
    monotonic_time m_rejectionWindowStart {};
    uint32_t m_rejections = 0;
};

} // namespace bilberryyard
