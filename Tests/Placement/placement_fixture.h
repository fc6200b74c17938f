#pragma once

#include <Placement/token_router.h>
#include <map>
#include <optional>
#include <string>

namespace bilberryyard {

/// A balancer's router with two services. Tests pass single packets to it and control the time.
class placement_fixture {
public:
    static constexpr uint16_t idempotentPort = 443;
    static constexpr uint16_t nonIdempotentPort = 8080;
    static constexpr uint16_t downloadPort = 8443;
    static constexpr uint16_t uploadPort = 9443;

    explicit placement_fixture(placement_settings const& settings = {})
        : router(settings, "a", 7)
    {
        route_table table;
        table.version = 1;
        table.services = { { "orders", 2'000 }, { "gallery", 2'000 } };
        auto const add = [&](uint16_t port, request_kind kind, uint32_t service) {
            service_route route;
            route.kind = kind;
            route.services = { { service, 1 } };
            table.routes[serviceAddress(port)] = route;
        };
        add(idempotentPort, request_kind::Idempotent, 0);
        add(nonIdempotentPort, request_kind::NonIdempotent, 0);
        add(downloadPort, request_kind::Download, 1);
        add(uploadPort, request_kind::Upload, 0);
        router.setRoutes(std::make_shared<route_table const>(table));
        router.pool().setDirectoryHealth(directory_health::Current);
        router.pool().setDirectoryCoverage(directory_coverage::Complete);
    }

    static ip_endpoint serviceAddress(uint16_t port) { return { ip_address::fromIpv4(0xc6120001), port }; }
    static std::string nameOf(int number) { return "i-" + std::to_string(number); }
    static uint32_t tokenOf(int number) { return flowToken(nameOf(number)); }

    /// Applies an announcement of a server to the directory and to the router.
    /// @param ageMs Time since a control host received the announcement.
    void announce(int number, std::string const& zone = "a", backend_state state = backend_state::Ready,
        std::string const& service = "orders", int ageMs = 0)
    {
        backend_announcement announcement;
        announcement.id = nameOf(number);
        announcement.tag = static_cast<uint64_t>(number);
        announcement.service = service;
        announcement.address = { ip_address::fromIpv4(0x0a000000 + static_cast<uint32_t>(number)), 8'000 };
        announcement.zone = zone;
        announcement.slots = 2;
        announcement.state = state;
        announcement.startedAtMs = 100;
        announcement.sequence = ++m_sequence;
        directory.apply(announcement, now - std::chrono::milliseconds(ageMs), now);
        router.pool().update(*directory.find(announcement.id), now);
    }

    /// Makes servers respond late for so long that new flows of this fixture's caller are refused.
    void overload(std::string const& service = "orders")
    {
        auto table = std::make_shared<route_table>(*router.routes());
        ++table->version;
        for (auto& [address, route] : table->routes)
            route.targetLatency = std::chrono::milliseconds(100);
        router.setRoutes(table);
        auto const token = router.pool().select(service, request_kind::Idempotent, now)->token;
        auto const respond = [&](int count, int milliseconds) {
            for (int i = 0; i < count; ++i) {
                advance(10);
                router.pool().recordResponseTime(
                    *router.pool().find(token), std::chrono::milliseconds(milliseconds), now);
            }
        };
        respond(50, 10);
        respond(500, 1'000);
    }

    void advance(int milliseconds) { now += std::chrono::milliseconds(milliseconds); }

    caller_packet packetOf(uint16_t callerPort, uint16_t port = idempotentPort) const
    {
        caller_packet packet;
        packet.flowEndpoints = { { ip_address::fromIpv4(0x64400007), callerPort }, serviceAddress(port) };
        return packet;
    }

    /// Sends a handshake packet.
    packet_decision open(uint16_t callerPort, uint32_t retransmissionCount = 0, uint16_t port = idempotentPort)
    {
        auto packet = packetOf(callerPort, port);
        packet.purpose = packet_purpose::Open;
        packet.sequence = 1'000;
        packet.retransmissionCount = retransmissionCount;
        return router.decide(packet, now);
    }

    /// Sends a request on an established flow.
    packet_decision request(
        uint16_t callerPort, uint32_t token, uint32_t acknowledgement = 5'001, uint16_t port = idempotentPort)
    {
        auto packet = packetOf(callerPort, port);
        packet.token = token;
        packet.sequence = 1'001;
        packet.acknowledgement = acknowledgement;
        packet.payloadBytes = 100;
        return router.decide(packet, now);
    }

    /// Acknowledges the first bytes of the response.
    packet_decision acknowledgeResponse(uint16_t callerPort, uint32_t token, uint16_t port = idempotentPort)
    {
        auto packet = packetOf(callerPort, port);
        packet.token = token;
        packet.sequence = 1'101;
        packet.acknowledgement = 6'000;
        return router.decide(packet, now);
    }

    /// Opens a flow and completes its handshake without delay.
    uint32_t openEstablished(uint16_t callerPort, uint16_t port = idempotentPort)
    {
        auto const token = targetOf(open(callerPort, 0, port)).value();
        completeHandshake(callerPort, token, port);
        return token;
    }

    /// Sends the caller's last packet of a handshake, which acknowledges the server's response.
    void completeHandshake(uint16_t callerPort, uint32_t token, uint16_t port = idempotentPort)
    {
        auto packet = packetOf(callerPort, port);
        packet.token = token;
        packet.sequence = 1'001;
        packet.acknowledgement = 5'001;
        router.decide(packet, now);
    }

    /// @return Token of the server that the packet was forwarded to.
    static std::optional<uint32_t> targetOf(packet_decision const& decision)
    {
        auto const* const target = std::get_if<forward_packet>(&decision);
        return target ? std::optional(target->token) : std::nullopt;
    }

    static std::optional<reset_reason> resetOf(packet_decision const& decision)
    {
        auto const* const reset = std::get_if<reset_flow>(&decision);
        return reset ? std::optional(reset->reason) : std::nullopt;
    }

    static std::optional<discard_reason> discardOf(packet_decision const& decision)
    {
        auto const* const drop = std::get_if<discard_packet>(&decision);
        return drop ? std::optional(drop->reason) : std::nullopt;
    }

    monotonic_time now = monotonic_time {} + std::chrono::seconds(1'000);
    backend_directory directory;
    token_router router;

private:
    uint64_t m_sequence = 0;
};

} // namespace bilberryyard
