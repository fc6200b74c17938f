#pragma once

#include <Routing/routing_view.h>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bilberryyard {

/// Decides which backend servers admit new flows, from their conditions and an estimate of their open flows
/// (docs/design.md section 3.4).
class admission_control {
public:
    /// Replaces the servers. The flows assigned here since a server's last report stay counted until the server
    /// reports again.
    /// @param servers All known servers.
    /// @param liveHosts Number of live entry hosts, including this one.
    void setServers(std::map<server_id, routed_server> const& servers, size_t liveHosts);

    /// @return The condition; nullopt for a server that this host has not discovered.
    std::optional<server_condition> conditionOf(server_id server) const
    {
        auto const* found = find(server);
        return found ? std::optional(found->server.condition) : std::nullopt;
    }

    /// @param service The service of the packet that is to be sent to the server.
    /// @return The condition; nullopt for a server that this host has not discovered, or of another service.
    std::optional<server_condition> conditionOf(server_id server, service_id service) const
    {
        auto const* found = find(server);
        bool const isOfOtherService = found && found->server.service && *found->server.service != service;
        return found && !isOfOtherService ? std::optional(found->server.condition) : std::nullopt;
    }

    /// Estimates the open flows of a server: those in its last report, plus the flows assigned here since then
    /// multiplied by the number of live hosts.
    /// @return The estimate; 0 for an unknown server.
    uint64_t estimateOf(server_id server) const;

    /// @return Whether the server refuses new flows or its estimate has reached its connection limit.
    bool isFull(server_id server) const;

    /// @return Whether new flows may be assigned to the server.
    bool admits(server_id server) const
    {
        return conditionOf(server) == server_condition::Accepting && !isFull(server);
    }

    /// Records that a new flow was assigned to a server. Unknown servers are ignored.
    void countAssigned(server_id server);

private:
    struct slot {
        routed_server server;
        uint32_t assigned = 0;
        bool used = false;
    };

    size_t firstSlot(server_id server) const
    {
        return (uint64_t { server.value } * 0x9E3779B1U) & (m_slots.size() - 1);
    }
    slot const* find(server_id server) const;

    /// Open addressing with a power-of-two size, at most half full.
    std::vector<slot> m_slots = std::vector<slot>(2);
    size_t m_liveHosts = 1;
};

} // namespace bilberryyard
