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
    /// Complete witnesses that each group should have.
    uint8_t witnessCount = 2;
    /// Bytes of table changes a second that the planner may send to all peers together, averaged over any
    /// 10 s. Half of the 4 KB/s of control traffic; heartbeats and server records use the rest.
    uint32_t bytesPerSecond = 2048;
    /// Time between two deltas of a service, so that simultaneous events share one delta.
    duration publishInterval = std::chrono::milliseconds { 100 };
    /// A joining server's share rises to its full share over this time.
    duration coldStart = std::chrono::seconds { 4 };
    /// The cold-start share rises in this many equal steps; each step costs a rollout.
    uint32_t coldStartSteps = 4;
    /// Buckets a second that may move between two accepting servers, per mille of the table.
    uint32_t movesPerMillePerSecond = 100;
    /// After the first server of a new service appears, the planner waits this long for the others, which
    /// announce themselves once a second. Without it the first server gets every bucket.
    duration firstAssignmentDelay = std::chrono::milliseconds { 1500 };
    /// A flow without a packet for this time is forgotten. A base is only given up when the witnesses that
    /// report no use of it have been the same for this long: a witness that was removed may have answered
    /// for the base until then.
    duration flowIdleTimeout = std::chrono::seconds { 900 };
    /// A witness group that is wholly out of reach is kept for this long, because a suspended host comes back
    /// with its entries. Routers cannot resolve a flow past such a group, so it must not stay; the other side
    /// of a partition keeps it in its own table, and merging brings it back.
    duration silentGroupHold = std::chrono::seconds { 10 };
    auto operator<=>(planner_settings const&) const = default;
};

/// A live entry host as the planner sees it.
struct planner_host {
    routed_peer peer;
    zone_id zone;
    /// The host is shutting down: its witness roles go to others.
    bool isLeaving = false;
    /// Versions of this planner's tables that the host has applied; a service is missing while the host
    /// does not hold this planner's table.
    std::map<service_id, uint64_t> acknowledged;
    auto operator<=>(planner_host const&) const = default;
};

/// A backend server as the planner sees it.
struct planner_server {
    server_id id;
    /// From the server's state, its lease and the health evidence.
    server_condition condition = server_condition::Accepting;
    /// Relative share of buckets, from the configuration and the smoothed load.
    double weight = 1.0;
    /// Flows it may hold; 0 means no limit.
    uint32_t connectionLimit = 0;
    /// Open flows by its last report.
    uint32_t openConnections = 0;
    /// When its present incarnation started to serve, on this host's clock.
    monotonic_time acceptingSince;
    auto operator<=>(planner_server const&) const = default;
};

/// Whether a service's flows announce themselves.
enum class service_traffic : uint8_t {
    /// TCP: a SYN starts a flow, and buckets can become stable.
    Stream,
    /// Datagrams: any packet may start a flow, and buckets stay tracked with an empty base.
    Datagram,
};

/// All that a planner's decision depends on besides its tables.
struct planner_input {
    monotonic_time now;
    routed_peer self;
    /// Live entry hosts, this one included.
    std::vector<planner_host> hosts;
    /// Entry hosts that the configuration lists.
    std::set<host_id> configuredHosts;
    /// Servers of each service. Servers that are not listed count as closed.
    std::map<service_id, std::vector<planner_server>> servers;
};

/// What a planner wants done.
struct planner_output {
    /// Changes to send to every live peer, in this order; the planner's own tables contain them already.
    std::vector<table_delta> deltas;
    /// Leaving hosts that no bucket names any more on any live host: they may stop.
    std::vector<host_id> mayLeave;
};

/// A witness's report that buckets can settle.
struct settled_report {
    service_id service;
    routed_peer reporter;
    /// Stamp of the buckets when the witness checked them. A report about an earlier state is void.
    table_stamp stamp;
    std::vector<uint32_t> buckets;
    auto operator<=>(settled_report const&) const = default;
};

/// A filling witness's report that it has received all explicit entries of buckets.
struct filled_report {
    service_id service;
    routed_peer reporter;
    std::vector<uint32_t> buckets;
    auto operator<=>(filled_report const&) const = default;
};

} // namespace bilberryyard
