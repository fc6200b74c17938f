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
    /// Where it receives messages of its peers.
    ip_endpoint peer;
    host_role role = host_role::Balancer;
    std::string zone;
    std::string name;
    /// Port of the control interface; 0 for a host without one.
    uint16_t controlPort = 0;
    /// Time since it was last heard.
    duration age {};
    auto operator<=>(fleet_host const&) const = default;
};

/// Whether a greeting asks for the hosts that its receiver knows.
enum class host_list : uint8_t {
    /// The receiver names itself alone.
    Unwanted,
    Wanted,
};

/// Which servers a greeting asks a control host for, or an update of its directory holds.
enum class server_scope : uint8_t {
    /// Those that announce themselves at the control host.
    Own,
    /// Those of other control hosts as well; for a balancer that knows no server yet.
    All,
};

/// Every daemon says this to each control host that it knows, at an interval.
struct hello_message {
    fleet_host host;
    uint64_t configurationVersion = 0;
    /// What the sender holds of the receiver's directory: the run that it comes from, and up to which revision.
    uint64_t directoryEpoch = 0;
    uint64_t directoryRevision = 0;
    host_list hosts = host_list::Unwanted;
    server_scope servers = server_scope::Own;
    auto operator<=>(hello_message const&) const = default;
};

/// A control host's answer to hello_message.
struct hello_response {
    std::vector<fleet_host> hosts;
    uint64_t configurationVersion = 0;
    /// How long the control host has been listening to backend servers.
    duration uptime {};
    /// The directory began with what an earlier run knew.
    bool isDirectoryRestored = false;
    auto operator<=>(hello_response const&) const = default;
};

struct aged_announcement {
    backend_announcement announcement;
    /// Time since a control host heard it.
    duration age {};
    auto operator<=>(aged_announcement const&) const = default;
};

/// What changed in a control host's directory.
struct directory_update {
    /// Differs between runs of the control host.
    uint64_t epoch = 0;
    /// 0 when the update holds the whole directory.
    uint64_t fromRevision = 0;
    uint64_t toRevision = 0;
    std::vector<aged_announcement> records;
    /// Flow tokens of servers that were heard again.
    std::vector<uint32_t> renewed;
    /// Whose servers the records are.
    server_scope scope = server_scope::Own;
    auto operator<=>(directory_update const&) const = default;
};

/// A control host without identity asks to become a member of the replicated log.
struct join_request {
    fleet_host host;
    /// Drawn once for a data folder, so that a host that lost its disk is not taken for the member that it was.
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
