#pragma once

#include <Base/monotonic_time.h>
#include <algorithm>
#include <memory>

namespace bilberryyard {

/// A control host's confirmation that its servers announce themselves. One lease covers all servers of the control
/// host, so its renewal takes the same time and traffic for any number of servers.
struct announcer_lease {
    monotonic_time renewedAt;
    auto operator<=>(announcer_lease const&) const = default;
};

/// When a backend server was last known to be alive.
struct server_liveness {
    /// When a control host last received an announcement of the server, as far as this is known without the lease.
    monotonic_time lastSeenAt;
    /// Lease of the control host that the server announces itself to; null if that host has reported the server as
    /// late, or does not send leases.
    std::shared_ptr<announcer_lease const> lease;
    /// Whether that control host has reported the server as late.
    bool isLate = false;

    monotonic_time latest() const { return lease ? std::max(lastSeenAt, lease->renewedAt) : lastSeenAt; }
    bool operator==(server_liveness const&) const = default;
};

} // namespace bilberryyard
