#pragma once

#include <Base/identifiers.h>
#include <Base/monotonic_time.h>
#include <Routing/bucket_table.h>
#include <Routing/routing_view.h>
#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bilberryyard {

/// Settings of the table planner.
struct planner_settings {
    /// Number of complete witnesses that each group should have.
    uint8_t witnessCount = 2;
    /// Bytes of table changes a second that the planner may send to all peers together, averaged over any 10 s. This is
    /// half of the 4 KB/s of control traffic; heartbeats and server records use the rest.
    uint32_t bytesPerSecond = 2048;
    /// Minimum time between two deltas of a service, so that events that occur close together share one delta.
    duration publishInterval = std::chrono::milliseconds { 100 };
    /// Time over which a joining server's share rises to its full share.
    duration coldStart = std::chrono::seconds { 4 };
    /// Number of equal steps in which the share rises during the cold start. Each step requires a rollout.
    uint32_t coldStartSteps = 4;
    /// Largest number of buckets a second that move between accepting servers, per mille of the table.
    uint32_t movesPerMillePerSecond = 100;
    /// Time that the planner waits for further servers after it discovered the first server of a new service. Servers
    /// announce themselves once a second; without the delay the first one would get every bucket.
    duration firstAssignmentDelay = std::chrono::milliseconds { 1500 };
    /// The entry of a flow expires after this time without a packet. A base is only abandoned when the witnesses that
    /// report no use of it have been the same for this long, because a witness that was removed may have resolved
    /// flows to the base until then.
    duration flowIdleTimeout = std::chrono::seconds { 900 };
    /// A witness group without a reachable witness is kept for this long, because a suspended host returns with its
    /// entries. It must be removed afterwards, because routers cannot resolve a flow past such a group. If the group is
    /// on the remote side of a partition, that side keeps it in its table and the merge restores it.
    duration unreachableGroupTimeout = std::chrono::seconds { 10 };
    auto operator<=>(planner_settings const&) const = default;
};

/// The planner's view of a live entry host.
struct planner_host {
    routed_peer peer;
    zone_id zone;
    /// The host is shutting down, and its witness roles must move to other hosts.
    bool isLeaving = false;
    /// Versions of this planner's tables that the host has applied. Contains no entry for a service while the host
    /// does not have this planner's table.
    std::map<service_id, uint64_t> acknowledged;
    auto operator<=>(planner_host const&) const = default;
};

/// The planner's view of a backend server.
struct planner_server {
    server_id id;
    /// Derived from the server's state, its lease and its handshake statistics.
    server_condition condition = server_condition::Accepting;
    /// Relative share of buckets, derived from the configuration and the smoothed load.
    double weight = 1.0;
    /// Largest number of open flows; 0 means no limit.
    uint32_t connectionLimit = 0;
    /// Number of open flows in its last report.
    uint32_t openConnections = 0;
    /// When the server's present incarnation started to serve, on this host's clock.
    monotonic_time acceptingSince;
    auto operator<=>(planner_server const&) const = default;
};

/// Whether a packet shows that it opens a new flow of the service.
enum class service_traffic : uint8_t {
    /// TCP: a SYN starts a flow, and buckets can become stable.
    Stream,
    /// Datagrams: any packet may start a flow, and buckets stay tracked without a base.
    Datagram,
};

/// All inputs of a planner's decisions besides its tables.
struct planner_input {
    monotonic_time now;
    routed_peer self;
    /// Live entry hosts, including this one.
    std::vector<planner_host> hosts;
    /// Entry hosts that the configuration lists.
    std::set<host_id> configuredHosts;
    /// Servers of each service. Servers that are not listed are treated as closed.
    std::map<service_id, std::vector<planner_server>> servers;
};

/// Actions that a planner requests.
struct planner_output {
    /// Changes to send to every live peer, in this order; the planner's own tables contain them already.
    std::vector<table_delta> deltas;
    /// Leaving hosts that may stop, because no bucket names them in the table of any live host.
    std::vector<host_id> mayLeave;
};

/// Report of a witness that buckets can settle.
struct settled_report {
    service_id service;
    routed_peer reporter;
    /// Stamp of the buckets when the witness checked them. A report about an earlier state has no effect.
    table_stamp stamp;
    std::vector<uint32_t> buckets;
    auto operator<=>(settled_report const&) const = default;
};

/// Report of a filling witness that it has received all explicit entries of buckets.
struct filled_report {
    service_id service;
    routed_peer reporter;
    std::vector<uint32_t> buckets;
    auto operator<=>(filled_report const&) const = default;
};

} // namespace bilberryyard
