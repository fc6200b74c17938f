#pragma once

#include <Membership/handshake_window.h>
#include <Membership/health_types.h>
#include <Membership/load_weight.h>
#include <absl/status/statusor.h>
#include <map>
#include <set>
#include <vector>

namespace bilberryyard {

/// Evaluates the health of the servers of one service from the handshakes that the entry hosts observe and from the
/// servers' load reports (docs/design.md section 3.4). Every entry host evaluates the servers, so that the next planner
/// continues with nearly the same ejections: the planner from the handshake statistics of all hosts, the others from
/// their own.
///
/// A server is ejected when most of its sampled handshakes fail, whatever it reports, unless the other servers of the
/// service fail at a similar rate: the cause is then the callers or the network. A server that reports to be near its
/// connection limit is not ejected, because it is expected to refuse handshakes.
class health_evaluator {
public:
    /// @return InvalidArgument that names the setting.
    static absl::StatusOr<health_evaluator> create(health_settings const& settings);

    /// Adds the handshake statistics of one host. The counts of several hosts are summed, because the packets of a flow
    /// may arrive at any of them.
    /// @param now When the statistics arrived.
    void observe(handshake_statistics const& statistics, monotonic_time now);

    /// Adds a server's load report. Must be called once for each new announcement.
    /// @param now When the announcement arrived.
    void report(server_id server, server_announcement const& announcement, monotonic_time now);

    /// Evaluates the serving servers and removes all others. Must be called at least every second.
    /// @param serving The service's servers in state Serving whose lease is valid.
    /// @return One evaluation for each of them.
    std::map<server_id, health_evaluation> evaluate(std::set<server_id> const& serving, monotonic_time now);

private:
    explicit health_evaluator(health_settings const& settings);

    struct server_health {
        handshake_window handshakes;
        load_weight weight;
        bool isNearConnectionLimit = false;
        bool isEjected = false;
        monotonic_time ejectedUntil;
        monotonic_time returnedAt;
        duration backOff {};
    };
    struct ejection_candidate {
        double ratio = 0;
        server_id server;
    };

    void readmit(monotonic_time now);
    std::vector<ejection_candidate> ejectionCandidates(monotonic_time now) const;
    void eject(server_health& health, monotonic_time now) const;

    health_settings m_settings;
    std::map<server_id, server_health> m_servers;
};

} // namespace bilberryyard
