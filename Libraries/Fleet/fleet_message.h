#pragma once

#include <Membership/backend_announcement.h>
#include <Placement/route_table.h>
#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace bilberryyard {

enum class host_role : uint8_t {
    Balancer = 1,
    Control = 2,
};

/// A daemon of the deployment as its peers know it.
struct fleet_host {
    /// Where it receives messages from other daemons.
    ip_endpoint peer;
    host_role role = host_role::Balancer;
    std::string zone;
    std::string name;
    /// TCP port of the control interface; 0 for a host without one.
    uint16_t controlPort = 0;
    /// Time since it was last seen.
    duration age {};
    auto operator<=>(fleet_host const&) const = default;
};

/// Whether a hello message requests the hosts that its receiver knows.
enum class host_list : uint8_t {
    /// The response lists only the receiver itself.
    NotRequested,
    Requested,
};

/// Which servers a hello message requests from a control host, or a directory update contains.
enum class server_scope : uint8_t {
    /// Those that announce themselves to the control host.
    Own,
    /// Those of the other control hosts too; for a balancer that has no directory yet.
    All,
};

/// Sent periodically by every daemon to each control host that it knows.
struct hello_message {
    fleet_host host;
    uint64_t configurationVersion = 0;
    /// Epoch and revision up to which the sender has stored the receiver's directory.
    uint64_t directoryEpoch = 0;
    uint64_t directoryRevision = 0;
    host_list hosts = host_list::NotRequested;
    server_scope servers = server_scope::Own;
    auto operator<=>(hello_message const&) const = default;
};

/// A control host's response to hello_message.
struct hello_response {
    std::vector<fleet_host> hosts;
    uint64_t configurationVersion = 0;
    /// How long the control host has been receiving announcements of backend servers.
    duration uptime {};
    /// Whether the control host has restored a directory that an earlier incarnation saved.
    bool isDirectoryRestored = false;
    auto operator<=>(hello_response const&) const = default;
};

struct aged_announcement {
    backend_announcement announcement;
    /// Time since a control host received it.
    duration age {};
    auto operator<=>(aged_announcement const&) const = default;
};

/// Changes of a control host's directory.
struct directory_update {
    /// Identifies the incarnation of the control host; differs after each restart.
    uint64_t epoch = 0;
    /// 0 for an update with the full directory.
    uint64_t fromRevision = 0;
    uint64_t toRevision = 0;
    std::vector<aged_announcement> records;
    /// Flow tokens of servers whose announcements were renewed without a change.
    std::vector<uint32_t> renewed;
    /// Whose servers the records are.
    server_scope scope = server_scope::Own;
    auto operator<=>(directory_update const&) const = default;
};

/// Request of a control host without a member identity to join the replicated log.
struct join_request {
    fleet_host host;
    /// Random value that is stored in the data folder, so that a host that lost its disk is not mistaken for the member
    /// that it was.
    uint64_t token = 0;
    auto operator<=>(join_request const&) const = default;
};

/// An encoded control_message between two members of the replicated log.
struct control_envelope {
    std::string bytes;
    auto operator<=>(control_envelope const&) const = default;
};

using fleet_message
    = std::variant<hello_message, hello_response, directory_update, route_table, control_envelope, join_request>;

} // namespace bilberryyard
