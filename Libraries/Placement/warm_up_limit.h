#pragma once

#include <Base/monotonic_time.h>
#include <compare>
#include <cstdint>
#include <vector>

namespace bilberryyard {

/// How many requests a server may receive during its warm-up.
struct warm_up_limit {
    /// What the server bears; 0 for no limit.
    double requestsPerSecond = 0;
    /// Largest number of requests in any second, as a multiple of requestsPerSecond plus a constant.
    double excess = 1;
    double slack = 0;
    auto operator<=>(warm_up_limit const&) const = default;
};

/// Durations on which balancers and control hosts have to agree.
struct warm_up_times {
    /// How long a balancer may use a grant, from when it sent the request for it.
    duration grantSpan = std::chrono::milliseconds(500);
    /// Longest time from an opening packet to the first request of its flow: callers repeat packets for this long.
    duration requestDelay = std::chrono::milliseconds(1'400);
    /// How often a balancer requests grants and reports its flows.
    duration requestInterval = std::chrono::milliseconds(250);
    /// The same after a flow was rejected for want of a grant.
    duration minimumRequestInterval = std::chrono::milliseconds(50);
    auto operator<=>(warm_up_times const&) const = default;

    /// @return Time after which a grant no longer contributes to the requests of any second.
    duration chargePeriod() const { return std::chrono::seconds(1) + grantSpan + requestDelay; }
};

/// Part of a balancer's request for grants that concerns one server.
struct warm_up_demand {
    uint32_t token = 0;
    /// Number of requests that the balancer could place.
    uint32_t wanted = 0;
    /// Requests a second that flows may send which this balancer sees open on the server.
    uint32_t openFlowRequests = 0;
    auto operator<=>(warm_up_demand const&) const = default;
};

/// Sent by a balancer to the control host that the servers announce themselves to.
struct warm_up_request {
    /// Increases with each request of one balancer; identifies it in the response.
    uint64_t number = 0;
    std::vector<warm_up_demand> servers;
    auto operator<=>(warm_up_request const&) const = default;
};

/// What a balancer may send to one server.
struct warm_up_grant {
    uint32_t token = 0;
    uint32_t requests = 0;
    /// How much longer the server's warm-up lasts.
    duration remaining {};
    auto operator<=>(warm_up_grant const&) const = default;
};

/// Response to warm_up_request.
struct warm_up_grants {
    uint64_t number = 0;
    std::vector<warm_up_grant> servers;
    auto operator<=>(warm_up_grants const&) const = default;
};

} // namespace bilberryyard
