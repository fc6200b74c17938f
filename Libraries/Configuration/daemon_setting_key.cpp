#include <Configuration/daemon_setting_key.h>

#include <algorithm>
#include <array>

namespace bilberryyard {

namespace {

    constexpr std::array<daemon_setting_key, 24> keys { {
        { "deployment", "yes",
            "Name of the deployment; the seed of the flow hash is derived from it, so it is the same on "
            "every host and never changes." },
        { "host_id", "yes", "Number of this host, 1 to 4094; unique over entry hosts and control hosts." },
        { "zone", "yes", "Availability zone of this host." },
        { "roles", "yes", "List of `balancer` (entry hosts) and `control` (hosts of the replicated log)." },
        { "log_level", "no",
            "Lowest severity that is logged: `debug`, `information` (default), `warning` or `error`." },
        { "http", "yes", "Address and TCP port of the operator interface and of server registrations." },
        { "data_folder", "role control",
            "Folder for the replicated log or, on a balancer, for the last valid "
            "configuration; relative paths start at the working directory." },
        { "balancer", "role balancer", "Sockets of the role balancer." },
        { "balancer.packet", "yes", "Address and UDP port at which packets from the fabric arrive." },
        { "balancer.relay", "yes", "Address and UDP port at which packets relayed by peers arrive." },
        { "balancer.peer", "yes", "Address and TCP port for messages from peers." },
        { "balancer.caller_gateway", "yes", "Address and UDP port to which rejections for callers are sent." },
        { "control", "role control", "Sockets of the role control." },
        { "control.peer", "yes", "Address and TCP port for messages from other members of the replicated log." },
        { "control.distribution", "yes", "Address and TCP port at which balancers ask for configuration." },
        { "entry_hosts", "role balancer", "Every entry host of the deployment, this one included." },
        { "entry_hosts[].host_id", "yes", "Number of the entry host." },
        { "entry_hosts[].zone", "yes", "Availability zone of the entry host." },
        { "entry_hosts[].peer", "yes", "Its `balancer.peer`." },
        { "entry_hosts[].relay", "yes", "Its `balancer.relay`." },
        { "control_members", "yes", "The control hosts that form the replicated log at its first start, 1 to 11." },
        { "control_members[].host_id", "yes", "Number of the control host." },
        { "control_members[].peer", "yes", "Its `control.peer`." },
        { "control_members[].distribution", "yes", "Its `control.distribution`." },
    } };

} // namespace

std::span<daemon_setting_key const> allDaemonSettingKeys() { return keys; }

std::vector<std::string_view> daemonSettingNames(std::string_view parent)
{
    std::vector<std::string_view> names;
    for (auto const& key : keys) {
        size_t const dot = key.path.rfind('.');
        bool const isRoot = dot == std::string_view::npos;
        if ((isRoot ? std::string_view() : key.path.substr(0, dot)) == parent)
            names.push_back(isRoot ? key.path : key.path.substr(dot + 1));
    }
    return names;
}

} // namespace bilberryyard
