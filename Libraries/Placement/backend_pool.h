#pragma once

#include <Membership/backend_directory.h>
#include <Membership/evacuated_zones.h>
#include <Membership/server_liveness.h>
#include <Placement/backend_load.h>
#include <Placement/failure_evidence.h>
#include <Placement/flow_token.h>
#include <Placement/overload_control.h>
#include <Placement/placement_criteria.h>
#include <Placement/placement_settings.h>
#include <Placement/route_table.h>
#include <Placement/warm_up_budget.h>
#include <Placement/zone_spill.h>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bilberryyard {

/// A backend server with the load that this balancer observes.
struct pooled_backend {
    uint32_t token = noToken;
    backend_entry entry;
    server_liveness liveness;
    /// Time of the latest announcement that is known exactly, not only through a lease.
    monotonic_time announcedAt;
    /// When the control host that the server announces itself to last reported that time on request.
    monotonic_time announcementCheckedAt;
    /// When this balancer received the server's first record. Earlier announcements may have been missed.
    monotonic_time knownSince;
    /// When the server was last listed by drainSuspects().
    monotonic_time suspectedAt;
    monotonic_time warmUpEndsAt;
    /// When warmUpEndsAt was last taken from a directory entry.
    monotonic_time warmUpUpdatedAt;
    /// When this balancer received that the server is Gone; only meaningful in that state.
    monotonic_time goneSince;
    backend_load load;
    /// Index of its availability zone, see zone_spill::indexOf().
    size_t zoneIndex = 0;
};

/// A request that has ended, or whose response already looks whole.
struct observed_response {
    response_look look = response_look::Unknown;
    /// From the request to the first byte of its response; nullopt if there was none.
    std::optional<duration> time {};
    /// Unknown when the flow's handshake passed through another balancer.
    std::optional<request_kind> kind {};
    auto operator<=>(observed_response const&) const = default;
};

/// Whether the time since a server's last announcement is meaningful.
enum class directory_health : uint8_t {
    /// A control host reports that has been up long enough to have received an announcement of every server. So a
    /// server without recent announcements is probably down.
    Current,
    /// No such control host reports, so announcements may be missing for any server.
    Stale,
};

/// Whether a caller's packet carries new data.
enum class packet_novelty : uint8_t {
    New,
    /// Data that the caller has sent before, while its request has no response.
    Repeated,
};

/// Which control host reports the time of a server's last announcement.
enum class announcement_reporter : uint8_t {
    /// The one that the server announces itself to.
    Announcer,
    /// Any other one. The server may have announced itself elsewhere since.
    OtherHost,
};

/// Whether a service without servers in the directory really has none.
enum class directory_coverage : uint8_t {
    /// The servers of all control hosts have not been received yet.
    Partial,
    Complete,
};

/// The backend servers that a balancer knows, and the choice of a server for each new flow.
class backend_pool {
public:
    /// @param zone The balancer's availability zone.
    /// @param seed Seed of the choice among servers of equal cost.
    backend_pool(placement_settings const& settings, std::string const& zone, uint64_t seed);

    /// Adds a server or applies its newer directory entry. A new incarnation resets the ejection state.
    /// @param now Start of the remaining warm-up that the entry states.
    void update(backend_entry const& entry, monotonic_time now);
    /// Records which server has taken over the address of this one.
    /// @param displacedBy Empty if the server has its address. Ignores unknown servers.
    void setDisplacement(std::string const& id, std::string const& displacedBy, monotonic_time now);
    /// Records when the server was last known to be alive. Ignores unknown tokens.
    void setLiveness(uint32_t token, server_liveness const& liveness);
    /// @param id Identifier of a server that the directory has removed.
    void remove(std::string const& id);
    /// Replaces the evacuated zones unless their revision is not higher than the current one.
    /// @return Whether they were replaced.
    bool setEvacuatedZones(evacuated_zones const& evacuations, monotonic_time now);
    evacuated_zones const& evacuations() const { return m_evacuations; }
    void setDirectoryHealth(directory_health health) { m_health = health; }
    void setDirectoryCoverage(directory_coverage coverage) { m_coverage = coverage; }
    directory_coverage coverage() const { return m_coverage; }

    /// @return The server, or null for an unknown token. The pointer is valid until the server is removed.
    pooled_backend* find(uint32_t token);

    /// Chooses the server of a new flow. Of the servers that meet the strictest of placementLevels that any server
    /// meets, the one with the lowest cost is chosen; zone_spill may have the flow leave the zone.
    /// @param importance Decides who may use servers that are warming up while they have little budget left.
    /// @param targetLatency Of the route; zero if it has none.
    /// @return The server, or null when the service has none that accepts flows.
    pooled_backend* select(std::string const& service, request_kind kind, monotonic_time now,
        route_importance importance = route_importance::Higher, duration targetLatency = {});

    /// @return Whether the server is warming up and its service limits the requests meanwhile.
    bool isLimited(pooled_backend const& backend, monotonic_time now) const;
    /// @return Whether a limited server of the service would accept flows if it had budget left.
    bool hasLimitedServer(std::string const& service, monotonic_time now) const;
    /// @return All servers that are limited at present.
    std::vector<warming_server> limitedServers(monotonic_time now) const;
    /// Records the end of a warm-up that the control host of the server has reported.
    /// @param askedAt When it was asked. An older report than the server's directory entry is ignored.
    void setWarmUpEnd(uint32_t token, monotonic_time endsAt, monotonic_time askedAt);
    warm_up_budget& warmUp() { return m_warmUp; }
    warm_up_budget const& warmUp() const { return m_warmUp; }

    /// @return Whether a retransmitted handshake packet may still be forwarded to this server.
    bool mayRepeatHandshake(pooled_backend const& backend, monotonic_time now) const;

    /// Records that a caller acknowledged data or a handshake response of the server.
    void recordAcknowledgement(pooled_backend& backend, monotonic_time now);
    /// @param time From a request to the first byte of its response.
    /// @param kind Of the request; unknown when the flow's handshake passed through another balancer.
    void recordResponseTime(
        pooled_backend& backend, duration time, monotonic_time now, std::optional<request_kind> kind = std::nullopt);
    /// Records how a request of the server has ended. Only responses that look whole make the server seem faster, or
    /// it would attract flows by failing them at once.
    void recordResponse(pooled_backend& backend, observed_response const& response, monotonic_time now);
    failure_evidence& evidence() { return m_evidence; }
    /// @return Whether the server has neither responded to any caller nor announced itself for so long that flows with
    ///     idempotent requests should be reset, so that callers retry at another server.
    bool isPresumedDead(pooled_backend const& backend, monotonic_time now) const;
    /// Records that a caller repeats data because the server has not responded.
    /// @param sentAt When the previous transmission was forwarded.
    void recordUnansweredData(pooled_backend& backend, monotonic_time sentAt);
    /// @param packet Whether this is a repetition of data without a response.
    /// @return Whether the server has left and no longer responds, so that the flow of the packet should be reset.
    ///     Leaving alone is no evidence that its flows have ended: the server serves them until it has received the
    ///     acknowledgement of its leave.
    bool hasStopped(pooled_backend const& backend, packet_novelty packet) const;
    /// Records a packet that a caller retransmitted; ejects the server when there were enough without a response.
    /// @param since When the packet's first transmission arrived.
    void recordRetransmission(pooled_backend& backend, monotonic_time since, monotonic_time now);

    /// Records the time of a server's last announcement that a control host has reported on request. Ignores unknown
    /// tokens.
    void recordAnnouncement(
        uint32_t token, monotonic_time announcedAt, announcement_reporter reporter, monotonic_time now);
    /// @return Flow tokens of servers for which the exact time of the last announcement is needed, since they have not
    ///     responded to a retransmitted packet.
    std::vector<uint32_t> drainSuspects() { return std::exchange(m_suspects, {}); }

    overload_control const& overload() const { return m_overload; }
    zone_spill& spill() { return m_spill; }
    zone_spill const& spill() const { return m_spill; }

    /// @return Servers that were ejected since the last call, with the duration of each ejection in milliseconds.
    std::vector<std::pair<std::string, int64_t>> drainEjections() { return std::exchange(m_newEjections, {}); }
    /// @return Response times since the last call in seconds; at most 256, further ones are left out.
    std::vector<double> drainResponseTimes() { return std::exchange(m_responseTimes, {}); }

    size_t size() const { return m_backends.size(); }
    /// @return Observed flows with servers of evacuated zones, with and without a complete handshake.
    size_t evacuatedZoneFlows() const;
    /// @return Number of servers of the service in the state Ready.
    size_t readyCount(std::string const& service) const;

private:
    /// The server with the lowest cost in one zone.
    struct zone_candidate {
        pooled_backend* backend = nullptr;
        double cost = 0;
    };

    /// @return What placement may rely on for this server.
    /// @param kind Kind of the request that the flow is for.
    placement_criteria criteriaOf(
        pooled_backend const& backend, request_kind kind, route_importance importance, monotonic_time now) const;
    /// Updates the trust in the servers of a service if that is due.
    void evaluateEvidence(std::string const& service, monotonic_time now);
    /// @return Requests a slot of the server after it has got the flow, weighted by its slowness.
    double cost(pooled_backend const& backend, double idleWeight, monotonic_time now);
    /// @return A random value from 0 to 1.
    double draw();
    double idleFlowWeight(std::string const& service);
    double slowness(pooled_backend const& backend, monotonic_time now) const;
    /// @return Whether an announcement of the server is missing at the control hosts that this balancer hears. Servers
    ///     announce themselves at intervals, so the last announcement of a running server may be older than the silence
    ///     towards its callers.
    bool isOverdue(pooled_backend const& backend, monotonic_time now) const;
    bool mayEject(pooled_backend const& candidate, monotonic_time now) const;

    placement_settings m_settings;
    overload_control m_overload;
    warm_up_budget m_warmUp { warm_up_times() };
    failure_evidence m_evidence { failure_evidence_settings() };
    zone_spill m_spill;
    uint64_t m_seed;
    uint64_t m_drawCount = 0;
    evacuated_zones m_evacuations;
    /// When this balancer was told of each evacuation.
    std::map<std::string, monotonic_time> m_evacuatedSince;
    directory_health m_health = directory_health::Stale;
    directory_coverage m_coverage = directory_coverage::Partial;
    std::unordered_map<uint32_t, pooled_backend> m_backends;
    std::map<std::string, std::vector<uint32_t>> m_services;
    /// Smoothed response time over all servers, by service.
    std::map<std::string, double> m_meanResponseSeconds;
    /// Smoothed share of the open flows that are busy, by service.
    std::map<std::string, double> m_busyShares;
    std::vector<std::pair<std::string, int64_t>> m_newEjections;
    std::vector<double> m_responseTimes;
    std::vector<uint32_t> m_suspects;
    /// The servers that a new flow may go to, by zone; only used while a server is chosen.
    std::vector<zone_candidate> m_candidates;
    std::vector<double> m_capacities;
};

} // namespace bilberryyard
