#pragma once

#include <Base/monotonic_time.h>
#include <Fleet/fleet_message.h>
#include <Packet/ip_endpoint.h>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace bilberryyard {

/// Whether a control host with an empty data folder may found a group of voters.
enum class bootstrap_permission : uint8_t {
    Forbidden,
    /// The whole deployment starts for the first time.
    Granted,
};

/// What a daemon of a deployment that forms itself is told.
struct fleet_settings {
    std::string name;
    std::string zone;
    host_role role = host_role::Balancer;
    ip_address address;
    /// Port for messages between daemons; the same on all hosts.
    uint16_t peerPort = 0;
    /// Control interfaces of a few control hosts, perhaps out of date.
    std::vector<ip_endpoint> seeds;
    bootstrap_permission bootstrap = bootstrap_permission::Forbidden;
    /// Empty for a host without a disk.
    std::string dataFolder;
    /// Where packets of callers arrive; balancers only.
    std::optional<ip_endpoint> packets;
    /// Where readiness is asked for; balancers only.
    std::optional<ip_endpoint> readiness;
    /// Where backend servers and operators call; control hosts only.
    std::optional<ip_endpoint> control;
    /// Where metrics are served.
    std::optional<ip_endpoint> metrics;
    /// Control hosts whose disks may be lost at a time.
    uint32_t toleratedLosses = 1;
    /// How often backend servers announce themselves.
    duration announcementInterval = std::chrono::seconds(1);
    /// Time between the request to stop and the end of the process by force.
    duration terminationGrace = std::chrono::seconds(6);
    auto operator<=>(fleet_settings const&) const = default;
};

/// Reads the seeds as they are now; nothing when they have not changed since the last call.
using seed_source = std::function<std::optional<std::vector<ip_endpoint>>()>;

} // namespace bilberryyard
