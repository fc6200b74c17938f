#pragma once

#include <Routing/forwarding_action.h>
#include <chrono>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace bilberryyard::test {

using namespace std::chrono_literals;

inline constexpr service_id tcpService { 1 };
inline constexpr service_id datagramService { 2 };
inline constexpr uint32_t bucketCount = 64;

inline server_id server(uint32_t value) { return { value }; }
inline host_id host(uint32_t value) { return { value }; }
inline monotonic_time at(std::chrono::milliseconds time) { return monotonic_time { time + 1h }; }

inline ip_address serviceAddress(service_id service) { return ip_address::fromIpv4(0xC6336400U + service.value); }

inline flow_key makeKey(uint32_t flow, service_id service = tcpService)
{
    return { ip_address::fromIpv4(0x0A000000U + flow / 50'000), serviceAddress(service),
        static_cast<uint16_t>(1'024 + flow % 50'000), 80,
        service == datagramService ? ip_protocol::Udp : ip_protocol::Tcp };
}

inline parsed_packet makeSyn(uint32_t flow)
{
    return { makeKey(flow), packet_kind::TcpSyn, tcp_flags::syn, 1'000, 0, 0 };
}

inline parsed_packet makeSegment(uint32_t flow, uint8_t flags = tcp_flags::ack, uint32_t payload = 100)
{
    return { makeKey(flow), packet_kind::TcpSegment, flags, 1'001, 5'001, payload };
}

inline parsed_packet makeDatagram(uint32_t flow)
{
    return { makeKey(flow, datagramService), packet_kind::Datagram, 0, 0, 0, 100 };
}

inline parsed_packet makeIcmpError(uint32_t flow) { return { makeKey(flow), packet_kind::IcmpError, 0, 0, 0, 0 }; }

/// A witness group of complete and filling witnesses, all under incarnation 1.
inline witness_group makeGroup(std::vector<uint32_t> const& complete, std::vector<uint32_t> const& filling = {})
{
    witness_group group;
    for (auto const id : complete)
        group.witnesses[group.count++] = { host(id), 1, witness_state::Complete };
    for (auto const id : filling)
        group.witnesses[group.count++] = { host(id), 1, witness_state::Filling };
    return group;
}

inline witness_set makeSet(std::vector<witness_group> const& groups)
{
    witness_set set;
    for (auto const& group : groups)
        set.groups[set.count++] = group;
    return set;
}

/// A table whose buckets are all in the same state.
inline std::shared_ptr<bucket_table const> makeTable(service_id service, server_id base, server_id current,
    bucket_phase phase = bucket_phase::Tracked, witness_set const& witnesses = makeSet({ makeGroup({ 1, 2 }) }),
    uint64_t version = 1)
{
    bucket_change change { current, base, phase, witnesses, { version, host(1) }, {} };
    for (uint32_t index = 0; index < bucketCount; ++index)
        change.buckets.push_back(index);
    return std::make_shared<bucket_table const>(
        bucket_table(service, bucketCount).withDelta({ service, version, { change } }));
}

/// The view of host `self`, with the other hosts of 1 to 4 as peers and with accepting servers 1 to 9.
inline routing_view makeView(uint32_t self)
{
    routing_view view;
    view.self = { host(self), 1 };
    for (uint32_t id = 1; id <= 4; ++id) {
        if (id != self)
            view.peers.push_back({ host(id), 1 });
    }
    view.endpoints = { { serviceAddress(tcpService), 80, ip_protocol::Tcp, tcpService },
        { serviceAddress(datagramService), 80, ip_protocol::Udp, datagramService } };
    for (uint32_t id = 1; id <= 9; ++id)
        view.servers[server(id)] = { server(id), server_condition::Accepting, 0, 0, 0 };
    return view;
}

inline std::string describe(forwarding_action const& action)
{
    if (auto const* forward = std::get_if<forward_to_server>(&action))
        return "server " + std::to_string(forward->server.value);
    if (auto const* relay = std::get_if<relay_to_host>(&action)) {
        auto const& header = relay->header;
        auto const kind = header.kind == relay_kind::Record ? " record " + std::to_string(header.server.value) : "";
        return "host " + std::to_string(relay->host.value) + kind
            + (header.group > 0 ? " group " + std::to_string(header.group) : "");
    }
    if (auto const* rejection = std::get_if<reject_packet>(&action))
        return rejection->kind == rejection_kind::ConnectionRefused ? "refused"
            : rejection->kind == rejection_kind::ConnectionReset    ? "reset"
                                                                    : "unreachable";
    return "drop " + std::to_string(static_cast<int>(std::get<drop_packet>(action).reason));
}

inline std::string describeDrop(drop_reason reason) { return describe(drop_packet { reason }); }

} // namespace bilberryyard::test
