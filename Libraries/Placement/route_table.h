#pragma once

#include <Base/monotonic_time.h>
#include <Packet/ip_endpoint.h>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bilberryyard {

/// Properties of a route's requests that placement depends on.
enum class request_kind : uint8_t {
    Idempotent = 1,
    /// Must not run more than once.
    NonIdempotent = 2,
    /// Idempotent, with a large response.
    Download = 3,
    /// Must not run more than once, with a large request.
    Upload = 4,
};

/// @return A stable name for logs and metrics.
char const* nameOf(request_kind kind);

/// @return Whether a request may be repeated after it may have run.
constexpr bool isIdempotent(request_kind kind)
{
    return kind == request_kind::Idempotent || kind == request_kind::Download;
}

/// @return Whether the bytes of a request or of its response cost more on the way than a short delay.
constexpr bool isLargeTransfer(request_kind kind)
{
    return kind == request_kind::Download || kind == request_kind::Upload;
}

struct weighted_service {
    /// Index into route_table::services.
    uint32_t service = 0;
    uint32_t weight = 1;
    auto operator<=>(weighted_service const&) const = default;
};

/// Where new flows to one virtual address and port are sent.
struct service_route {
    request_kind kind = request_kind::Idempotent;
    duration targetLatency {};
    duration timeout {};
    /// 0 is the most important.
    uint32_t priority = 0;
    std::vector<weighted_service> services;
    auto operator<=>(service_route const&) const = default;
};

struct routed_service {
    std::string name;
    uint32_t maximumConnections = 0;
    /// How long a server warms up after its start.
    duration coldDuration {};
    /// Requests a second that a server bears meanwhile; 0 for no limit.
    double coldRequestsPerSecond = 0;
    auto operator<=>(routed_service const&) const = default;
};

/// One version of the routes of a balancer.
struct route_table {
    uint64_t version = 0;
    std::vector<routed_service> services;
    std::map<ip_endpoint, service_route> routes;
    /// Flows without a packet for longer may be removed.
    duration idleTimeout = std::chrono::seconds(15);
    auto operator<=>(route_table const&) const = default;
};

} // namespace bilberryyard
