#pragma once

#include <Membership/handshake_window.h>
#include <Membership/health_types.h>
#include <Membership/load_weight.h>
#include <absl/status/statusor.h>
#include <map>
#include <set>
#include <vector>

namespace bilberryyard {

/// Judges the servers of one service by what the entry hosts observe, against what the servers report
/// (docs/design.md section 3.4). Every entry host runs one on the evidence of all hosts, so that the next
/// planner continues with nearly the same ejections.
///
/// A server is ejected when most of its sampled handshakes fail, whatever it reports, unless the other
/// servers of the service fail alike: then the cause is on the side of the callers or the network. A server
/// that reports to be at its connection limit is left to the limit, because its refusals are expected.
class health_evaluator {
public:
    /// @param settings The settings.
    /// @return The judge, or InvalidArgument that names the setting.
    static absl::StatusOr<health_evaluator> create(health_settings const& settings);

    /// Takes what a host counted.
    /// @param evidence The counts; hosts are added up, because a flow's packets arrive at any of them.
    /// @param now When it arrived.
    void observe(handshake_statistics const& evidence, monotonic_time now);

    /// Takes a server's load report. Call once for each new report.
    /// @param server The server.
    /// @param announcement Its announcement.
    /// @param now When it arrived.
    void report(server_id server, server_announcement const& announcement, monotonic_time now);

    /// Judges the servers that say that they serve. Call at least every second.
    /// @param serving The service's servers with a lease in state serving.
    /// @param now The time.
    /// @return A verdict for each of them. Others are forgotten.
    std::map<server_id, health_evaluation> judge(std::set<server_id> const& serving, monotonic_time now);

private:
    explicit health_evaluator(health_settings const& settings);

    struct server_health {
        handshake_window handshakes;
        load_weight weight;
        bool isAtLimit = false;
        bool isEjected = false;
        monotonic_time returnsAt;
        monotonic_time returnedAt;
        duration backOff {};
    };
    struct suspect {
        double ratio = 0;
        server_id server;
    };

    void readmit(monotonic_time now);
    std::vector<suspect> suspects(monotonic_time now) const;
    void eject(server_health& health, monotonic_time now) const;

    health_settings m_settings;
    std::map<server_id, server_health> m_servers;
};

} // namespace bilberryyard
