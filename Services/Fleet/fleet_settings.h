#pragma once

#include <Base/monotonic_time.h>
#include <Fleet/fleet_message.h>
#include <Packet/ip_endpoint.h>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bilberryyard {

/// Whether a control host with an empty data folder may bootstrap a group of voters.
enum class bootstrap_permission : uint8_t {
    Forbidden,
    /// For the very first start of the whole deployment.
    Granted,
};

/// Settings of a daemon that discovers the other hosts of its deployment at run time.
struct fleet_settings {
    std::string name;
    std::string zone;
    /// All availability zones of the deployment.
    std::set<std::string> zones;
    host_role role = host_role::Balancer;
    ip_address address;
    /// UDP port for messages between daemons; the same on all hosts.
    uint16_t peerPort = 0;
    /// Control interfaces of some control hosts; may be out of date.
    std::vector<ip_endpoint> seeds;
    bootstrap_permission bootstrap = bootstrap_permission::Forbidden;
    /// Empty for a host without a disk.
    std::string dataFolder;
    /// Where packets of callers arrive; balancers only.
    std::optional<ip_endpoint> packetEndpoint;
    /// Where readiness probes are served; balancers only.
    std::optional<ip_endpoint> readinessEndpoint;
    /// Where calls of backend servers and operators are served; control hosts only.
    std::optional<ip_endpoint> controlEndpoint;
    /// Where metrics are served; nullopt to serve none.
    std::optional<ip_endpoint> metricsEndpoint;
    /// Number of control hosts that may lose their disks at the same time.
    uint32_t toleratedLosses = 1;
    /// How often backend servers announce themselves.
    duration announcementInterval = std::chrono::seconds(1);
    /// Rate of the host's link; 0 if unknown.
    uint64_t linkBytesPerSecond = 0;
    /// Additional response time that callers accept so that one kilobyte need not pass between availability zones.
    duration zoneTransferCostPerKilobyte = std::chrono::microseconds(250);
    /// Time from the request to stop until the process is killed.
    duration terminationGrace = std::chrono::seconds(6);
    /// Requests that a server may receive in any second of its warm-up: a multiple of what its service states, plus a
    /// constant.
    double coldRequestExcess = 1;
    double coldRequestSlack = 0;
    auto operator<=>(fleet_settings const&) const = default;
};

/// Returns the current seeds; nullopt if they have not changed since the last call.
using seed_source = std::function<std::optional<std::vector<ip_endpoint>>()>;

} // namespace bilberryyard
