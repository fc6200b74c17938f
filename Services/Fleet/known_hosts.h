#pragma once

#include <Fleet/fleet_message.h>
#include <map>
#include <vector>

namespace bilberryyard {

/// The daemons of the deployment that a daemon has discovered. There is no configured list of hosts; each daemon
/// discovers the others through control hosts.
class known_hosts {
public:
    /// @param self Peer address of the local daemon, which is never listed.
    explicit known_hosts(ip_endpoint const& self);

    struct known_host {
        fleet_host host;
        monotonic_time lastSeenAt;
    };

    /// Adds a host or updates its entry, unless the entry is more recent.
    /// @param host The host; it was last seen `host.age` before `now`.
    void updateHost(fleet_host const& host, monotonic_time now);

    /// @param maximumAge Hosts that were last seen longer ago are left out.
    /// @return The hosts with this role; their ages are relative to `now`.
    std::vector<fleet_host> list(host_role role, monotonic_time now, duration maximumAge) const;

    /// @return The host with this peer address, or null. Valid until the next change.
    known_host const* find(ip_endpoint const& peer) const;

    /// Removes hosts that were last seen longer than `maximumAge` ago.
    void expire(monotonic_time now, duration maximumAge);

private:
    ip_endpoint m_self;
    std::map<ip_endpoint, known_host> m_hosts;
};

} // namespace bilberryyard
