#pragma once

#include <Base/identifiers.h>
#include <Packet/ip_endpoint.h>
#include <compare>
#include <cstdint>
#include <map>

namespace bilberryyard {

struct processor_settings {
    /// Relay endpoint of each other entry host.
    std::map<host_id, ip_endpoint> peers;
    /// Next hop of packets to callers: the host's route back into the fabric.
    ip_endpoint callerGateway;
    /// Rate limit; further rejections are suppressed and counted (RFC 4443 section 2.4 f).
    uint32_t rejectionsPerSecond = 10'000;
    auto operator<=>(processor_settings const&) const = default;
};

} // namespace bilberryyard
