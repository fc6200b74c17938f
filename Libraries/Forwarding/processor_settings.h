#pragma once

#include <Base/identifiers.h>
#include <Packet/ip_endpoint.h>
#include <compare>
#include <cstdint>
#include <map>

namespace bilberryyard {

/// Settings of a packet_processor.
struct processor_settings {
    /// Relay endpoint of each other entry host.
    std::map<host_id, ip_endpoint> peers;
    /// Where packets from the system to callers go: the host's route back into the fabric.
    ip_endpoint callerGateway;
    /// Rejections a second; more are counted and suppressed (RFC 4443 section 2.4 f).
    uint32_t rejectionsPerSecond = 10'000;
    auto operator<=>(processor_settings const&) const = default;
};

} // namespace bilberryyard
