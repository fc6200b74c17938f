#pragma once

#include <Fleet/fleet_message.h>
#include <map>
#include <vector>

namespace bilberryyard {

/// The daemons of the deployment that a daemon has heard of. Nobody keeps a list; every daemon learns of the others
/// from control hosts.
class known_hosts {
public:
    /// @param self Never listed.
    explicit known_hosts(ip_endpoint const& self);

    struct known_host {
        fleet_host host;
        monotonic_time lastSeenAt;
    };

    /// Notes a host that was heard of.
    /// @param host The host; its age counts.
    /// @param now The time.
    void learn(fleet_host const& host, monotonic_time now);

    /// @param role A role.
    /// @param now The time.
    /// @param limit Hosts that nobody has heard for longer are left out.
    /// @return The hosts, with their ages.
    std::vector<fleet_host> list(host_role role, monotonic_time now, duration limit) const;

    /// @param peer A host.
    /// @return What is known of it, or null.
    known_host const* find(ip_endpoint const& peer) const;

    /// Forgets hosts that nobody has heard for longer.
    void expire(monotonic_time now, duration limit);

private:
    ip_endpoint m_self;
    std::map<ip_endpoint, known_host> m_hosts;
};

} // namespace bilberryyard
