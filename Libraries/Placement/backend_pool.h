#pragma once

#include <Membership/backend_directory.h>
#include <Placement/backend_load.h>
#include <Placement/flow_token.h>
#include <Placement/overload_control.h>
#include <Placement/placement_settings.h>
#include <Placement/route_table.h>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bilberryyard {

/// A backend server as a balancer sees it.
struct pooled_backend {
    uint32_t token = noToken;
    backend_entry entry;
    /// When the warm-up after its start ends.
    monotonic_time warmAt;
    backend_load load;
};

/// Whether silence of servers says something about them.
enum class directory_health : uint8_t {
    /// Control hosts report; a server that none of them hears is in trouble.
    Fresh,
    /// No control host reports, so all servers fall silent together.
    Stale,
};

/// The backend servers that a balancer knows, and the choice among them.
class backend_pool {
public:
    /// @param settings Weights and limits.
    /// @param zone The balancer's availability zone.
    /// @param seed Seed of the choice among equally good servers.
    backend_pool(placement_settings const& settings, std::string zone, uint64_t seed);

    /// Takes over what the directory knows of a server.
    /// @param entry The entry.
    /// @param now The time.
    void update(backend_entry const& entry, monotonic_time now);
    /// Notes that a control host heard a server again.
    void renew(uint32_t token, monotonic_time lastSeenAt);
    /// @param id A server that the directory has forgotten.
    void remove(std::string const& id);
    void setDirectoryHealth(directory_health health) { m_health = health; }

    /// @param token Token of a packet.
    /// @return The server, or null for an unknown token.
    pooled_backend* find(uint32_t token);

    /// Chooses the server of a new flow.
    /// @param service Name of the service.
    /// @param kind What the requests are.
    /// @param now The time.
    /// @return The server, or null when none can take a flow.
    pooled_backend* select(std::string const& service, request_kind kind, monotonic_time now);

    /// @param backend A server.
    /// @param now The time.
    /// @return Whether repeated handshakes may go there.
    bool mayRepeatHandshake(pooled_backend const& backend, monotonic_time now) const;

    /// Notes that the caller acknowledged something of the server.
    void noteAnswer(pooled_backend& backend, monotonic_time now);
    /// Notes the time from a request to the first byte of its answer.
    void noteResponseTime(pooled_backend& backend, duration time, monotonic_time now);
    /// @param backend A server.
    /// @param now The time.
    /// @return Whether it has answered nobody for so long that idempotent requests should go elsewhere.
    bool isPresumedDead(pooled_backend const& backend, monotonic_time now) const;
    /// Notes a packet that the caller had to repeat.
    /// @param since When it was sent first.
    void noteUnanswered(pooled_backend& backend, monotonic_time since, monotonic_time now);

    /// @return Which new flows the services take.
    overload_control const& overload() const { return m_overload; }

    /// @return Servers that were ejected since the last call, and for how many milliseconds.
    std::vector<std::pair<std::string, int64_t>> drainEjections() { return std::exchange(m_newEjections, {}); }
    /// @return Response times since the last call in seconds; at most a few hundred.
    std::vector<double> drainResponseTimes() { return std::exchange(m_responseTimes, {}); }

    size_t size() const { return m_backends.size(); }
    /// @param service Name of a service.
    /// @return How many of its servers are ready.
    size_t readyCount(std::string const& service) const;

private:
    /// How much is asked of a candidate; each step gives up one criterion.
    enum class demand : uint8_t {
        Healthy,
        Announced,
        Ready,
        JustLeaving,
    };

    bool meets(pooled_backend const& backend, demand level, monotonic_time now) const;
    double cost(pooled_backend const& backend, request_kind kind, double idleWeight, monotonic_time now);
    double idleFlowWeight(std::string const& service);
    double slowness(pooled_backend const& backend, monotonic_time now) const;
    bool mayEject(pooled_backend const& candidate, monotonic_time now) const;

    placement_settings m_settings;
    overload_control m_overload;
    std::string m_zone;
    uint64_t m_seed;
    uint64_t m_drawCount = 0;
    directory_health m_health = directory_health::Stale;
    std::unordered_map<uint32_t, pooled_backend> m_backends;
    std::map<std::string, std::vector<uint32_t>> m_services;
    /// Smoothed response time over all servers of a service.
    std::map<std::string, double> m_usualSeconds;
    /// Smoothed share of the open flows of a service that are busy.
    std::map<std::string, double> m_busyShares;
    std::vector<std::pair<std::string, int64_t>> m_newEjections;
    std::vector<double> m_responseTimes;
};

} // namespace bilberryyard
