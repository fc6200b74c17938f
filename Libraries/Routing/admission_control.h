#pragma once

#include <Routing/routing_view.h>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bilberryyard {

/// Conditions of the backend servers and an estimate of their open flows (docs/design.md section 3.4).
class admission_control {
public:
    /// Takes over a new view. Assignments counted since the last report are kept while the report is the same.
    /// @param servers All known servers.
    /// @param liveHosts Number of live entry hosts, this one included.
    void setServers(std::map<server_id, routed_server> const& servers, size_t liveHosts);

    /// @param server A server.
    /// @return Its condition, or nothing when this host has not heard of it.
    std::optional<server_condition> conditionOf(server_id server) const
    {
        auto const* found = find(server);
        return found ? std::optional(found->server.condition) : std::nullopt;
    }

    /// @param server A server.
    /// @param service The service of a packet for it.
    /// @return Its condition, or nothing when this host has not heard of it or it belongs to another service.
    std::optional<server_condition> conditionOf(server_id server, service_id service) const
    {
        auto const* found = find(server);
        bool const foreign = found && found->server.service && *found->server.service != service;
        return found && !foreign ? std::optional(found->server.condition) : std::nullopt;
    }

    /// The reported open flows plus the flows assigned here since that report times the number of live hosts.
    /// @param server A server.
    /// @return The estimate; 0 for an unknown server.
    uint64_t estimateOf(server_id server) const;

    /// @param server A server.
    /// @return Whether the estimate has reached its connection limit.
    bool isFull(server_id server) const;

    /// @param server A server.
    /// @return Whether it takes new flows now.
    bool admits(server_id server) const
    {
        return conditionOf(server) == server_condition::Accepting && !isFull(server);
    }

    /// Notes that a new flow was assigned to a server.
    /// @param server The server; unknown servers are ignored.
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
