#pragma once

#include <Base/monotonic_time.h>
#include <Placement/route_table.h>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bilberryyard {

/// How a finished request looks from the packets of its caller.
enum class response_look : uint8_t {
    /// Nothing is known yet about the usual responses of the route.
    Unknown,
    /// The caller acknowledged about as many bytes as is usual for the route.
    Whole,
    /// The response was much shorter than usual, or there was none.
    Conspicuous,
};

/// Numbers of finished requests of a server; fractions after a decay.
struct request_counts {
    double whole = 0;
    double conspicuous = 0;

    double total() const { return whole + conspicuous; }
    auto operator<=>(request_counts const&) const = default;
};

/// What one host has counted for a server.
struct server_counts {
    uint32_t token = 0;
    request_counts counts;
    auto operator<=>(server_counts const&) const = default;
};

/// Sent by a balancer to control hosts: what it has counted since its previous report.
struct failure_report {
    std::vector<server_counts> servers;
    auto operator<=>(failure_report const&) const = default;
};

/// Sent by a control host to balancers: the decayed sums over all reporters.
struct failure_sums {
    /// Balancers that have reported recently.
    uint32_t reporters = 0;
    /// Servers with conspicuous requests.
    std::vector<server_counts> servers;
    /// All other servers together.
    request_counts rest;
    auto operator<=>(failure_sums const&) const = default;
};

struct failure_evidence_settings {
    /// Counts halve in this time, so that they describe the present state of a server.
    duration countHalfLife = std::chrono::milliseconds(2'000);
    /// Limits the weight of the past when a server's behaviour changes.
    double maximumCount = 20;
    /// Probability that any healthy server of a service looks like an outlier by chance.
    double falseAlarmProbability = 0.001;
    /// Share of conspicuous requests that is regarded as possible at a healthy server. Callers give up and links lose
    /// packets at this rate without any fault of a server.
    double normalShare = 0.02;
    /// A server whose conspicuous share exceeds that of its service by less does more good than harm.
    double minimumExcess = 0.15;
    /// A server is trusted again when its score falls below this part of the threshold.
    double recoveryFactor = 0.25;
    /// Largest share of the ready servers of a service that may lack trust at a time.
    double maximumUntrustedShare = 0.5;
    /// A response is conspicuous below this part of the usual size.
    double usualSizeShare = 0.5;
    /// A request without a response is conspicuous after this multiple of the route's usual response time.
    double silentResponseTimes = 8;
    /// The least time for that: two retransmissions of a lost packet, after 200 ms and 400 ms, and the way.
    duration minimumSilence = std::chrono::milliseconds(700);
    /// Over all balancers, one probe of an untrusted server in this time.
    duration probeInterval = std::chrono::milliseconds(1'000);
    /// Sums of a control host are ignored when they are older.
    duration sharedExpiry = std::chrono::milliseconds(3'000);
    auto operator<=>(failure_evidence_settings const&) const = default;
};

/// The usual size and time of the responses of a route.
class usual_response {
public:
    void record(uint32_t bytes, duration time);
    /// @return The upper quartile of the recent sizes; 0 while there are too few. Short responses of failing servers
    ///     are a minority, and do not change it.
    uint32_t bytes() const { return m_bytes; }
    /// @return The upper quartile of the recent times; zero while there are too few.
    duration time() const { return m_time; }

private:
    static constexpr size_t minimumSamples = 8;
    static constexpr size_t maximumSamples = 32;

    std::vector<uint32_t> m_sizes;
    std::vector<duration> m_times;
    size_t m_next = 0;
    uint32_t m_bytes = 0;
    duration m_time {};
};

/// Counts that decay with time and with further requests.
class decaying_counts {
public:
    void add(request_counts const& counts, failure_evidence_settings const& settings, monotonic_time now);
    request_counts at(failure_evidence_settings const& settings, monotonic_time now) const;

private:
    request_counts m_counts;
    monotonic_time m_updatedAt;
};

/// A server whose requests look worse than those of the other servers.
struct outlier_score {
    uint32_t token = 0;
    request_counts counts;
    /// Conspicuous share of the other servers.
    double othersShare = 0;
    /// Logarithm of the likelihood ratio between two shares, the server's and that of the others, and a common one; 0
    /// if the server's is lower. It is small as long as either has few requests.
    double score = 0;
    auto operator<=>(outlier_score const&) const = default;
};

/// Compares each server with the rest of its service. The worst servers come first; those that are outliers do not
/// count as others for the next ones, so that many failing servers do not hide each other.
/// @param rest Requests of servers that are not listed.
/// @param threshold Score from which a server is an outlier.
std::vector<outlier_score> scoreServers(std::vector<server_counts> servers, request_counts const& rest,
    double threshold, failure_evidence_settings const& settings);

/// A change of a server's trust and what decided it.
struct trust_change {
    enum class direction : uint8_t {
        Lost,
        Regained,
    };
    direction to = direction::Lost;
    outlier_score score;
    double threshold = 0;
    enum class source : uint8_t {
        Own,
        Shared,
    };
    source from = source::Own;
    size_t untrusted = 0;
    size_t ready = 0;
    auto operator<=>(trust_change const&) const = default;
};

/// Decides which servers fail requests although they announce themselves and accept flows. Combines what this balancer
/// counts with the sums over all balancers that control hosts send.
class failure_evidence {
public:
    explicit failure_evidence(failure_evidence_settings const& settings);

    /// @param route Address of the request.
    /// @param responseBytes Bytes of the response that the caller has acknowledged so far.
    /// @return Conspicuous if the response would be too short if it ended here.
    response_look lookOf(ip_endpoint const& route, uint32_t responseBytes) const;
    /// @return Whether a request of the route has been without a response for so long that this is conspicuous.
    bool isSilent(ip_endpoint const& route, duration withoutResponse) const;
    /// Records a response that has ended.
    /// @param time From the request to the first byte of the response.
    void recordUsual(ip_endpoint const& route, uint32_t responseBytes, duration time);
    /// Counts a finished request; Unknown has no effect.
    void record(uint32_t token, response_look look, monotonic_time now);
    /// Replaces the sums of one control host.
    void setSums(ip_endpoint const& sender, failure_sums const& sums, monotonic_time now);
    /// Forgets a server, or its earlier incarnation.
    void remove(uint32_t token);

    /// Updates the trust in the servers of a service.
    /// @param ready Tokens of all its servers that accept new flows.
    void evaluate(std::string const& service, std::vector<uint32_t> const& ready, monotonic_time now);
    bool isDue(std::string const& service, monotonic_time now) const;

    /// @return Whether new flows of this kind may be placed on the server like on any other. An untrusted server gets
    ///     single idempotent requests as probes.
    bool isTrusted(uint32_t token, request_kind kind, monotonic_time now) const;
    /// Records that a flow was placed on the server.
    void recordPlacement(uint32_t token, monotonic_time now);

    /// @return What to report to control hosts; empty if nothing is conspicuous here or elsewhere.
    failure_report drainReport(monotonic_time now);
    std::vector<trust_change> drainChanges() { return std::exchange(m_changes, {}); }
    size_t untrustedCount() const { return m_untrusted.size(); }
    uint64_t conspicuousCount() const { return m_conspicuousCount; }

private:
    struct received_sums {
        failure_sums sums;
        monotonic_time receivedAt;
    };
    struct untrusted_server {
        monotonic_time nextProbeAt;
    };

    double threshold(size_t servers) const;
    duration probeInterval(monotonic_time now) const;
    /// @return The sums of the control host with most requests among those that are not too old, or nullptr.
    received_sums const* currentSums(monotonic_time now) const;
    std::vector<outlier_score> ownScores(std::vector<uint32_t> const& ready, monotonic_time now) const;
    std::vector<outlier_score> sharedScores(std::vector<uint32_t> const& ready, monotonic_time now) const;

    failure_evidence_settings m_settings;
    std::map<ip_endpoint, usual_response> m_usual;
    std::unordered_map<uint32_t, decaying_counts> m_counts;
    std::unordered_map<uint32_t, request_counts> m_pending;
    std::map<ip_endpoint, received_sums> m_sums;
    std::unordered_map<uint32_t, untrusted_server> m_untrusted;
    std::map<std::string, monotonic_time> m_evaluatedAt;
    std::vector<trust_change> m_changes;
    monotonic_time m_conspicuousAt;
    uint64_t m_conspicuousCount = 0;
};

/// A control host's sums over the reports of balancers.
class failure_aggregator {
public:
    explicit failure_aggregator(failure_evidence_settings const& settings);

    void record(ip_endpoint const& reporter, failure_report const& report, monotonic_time now);
    /// @return The sums; without servers if none has conspicuous requests.
    failure_sums sums(monotonic_time now) const;
    void expire(monotonic_time now);
    bool isEmpty() const { return m_servers.empty(); }

private:
    /// Bounds what a single balancer contributes to a server's conspicuous requests: if everything fails on its paths,
    /// that is no evidence against a server.
    static constexpr double maximumConspicuousPerReporter = 2;
    /// Servers below this sum are not listed.
    static constexpr double minimumListedConspicuous = 0.5;
    static constexpr size_t maximumListedServers = 256;

    failure_evidence_settings m_settings;
    std::map<uint32_t, std::map<ip_endpoint, decaying_counts>> m_servers;
    std::map<ip_endpoint, monotonic_time> m_reporters;
};

} // namespace bilberryyard
