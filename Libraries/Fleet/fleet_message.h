#pragma once

#include <Membership/backend_announcement.h>
#include <Membership/evacuated_zones.h>
#include <Placement/failure_evidence.h>
#include <Placement/route_difference.h>
#include <Placement/route_table.h>
#include <Placement/warm_up_limit.h>
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

/// How a host exchanges the directory of backend servers.
enum class directory_protocol : uint32_t {
    /// Full directories in one message, and the tokens of all renewed servers.
    Renewals = 0,
    /// Directories in pages on request, and leases that name only the servers whose announcements are overdue.
    Leases = 1,
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
    directory_protocol protocol = directory_protocol::Leases;
    auto operator<=>(fleet_host const&) const = default;
};

/// Whether a hello message requests the hosts that its receiver knows.
enum class host_list : uint8_t {
    /// The response lists only the receiver itself.
    NotRequested,
    Requested,
};

/// Whether a hello message requests the receiver's routes if they are newer than those of its sender.
enum class route_request : uint8_t {
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
    route_request routes = route_request::NotRequested;
    /// Revision of the evacuated zones that the sender knows; 0 if it knows none.
    uint64_t evacuationRevision = 0;
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
    /// Revision of the evacuated zones that the control host knows; 0 before the first order.
    uint64_t evacuationRevision = 0;
    auto operator<=>(hello_response const&) const = default;
};

struct aged_announcement {
    backend_announcement announcement;
    /// Time since a control host received it.
    duration age {};
    auto operator<=>(aged_announcement const&) const = default;
};

/// How long ago a server announced itself.
struct server_age {
    uint32_t token = 0;
    duration age {};
    auto operator<=>(server_age const&) const = default;
};

/// Whether a directory update confirms that the sender's servers still announce themselves.
enum class lease_renewal : uint8_t {
    No,
    /// It does for all of them, except those that this update or an earlier one reports as late.
    Yes,
};

/// Changes of a control host's directory.
struct directory_update {
    /// Identifies the incarnation of the control host; differs after each restart.
    uint64_t epoch = 0;
    /// 0 for an update with the full directory.
    uint64_t fromRevision = 0;
    uint64_t toRevision = 0;
    std::vector<aged_announcement> records;
    /// Flow tokens of servers whose announcements were renewed without a change. With a lease only those that were late
    /// before, or that announced themselves to another control host.
    std::vector<uint32_t> renewed;
    /// Whose servers the records are.
    server_scope scope = server_scope::Own;
    /// Servers whose announcements are overdue.
    std::vector<server_age> late {};
    lease_renewal lease = lease_renewal::No;
    /// Digests of the records that `renewed` stands for, in its order; empty from a host that sends none.
    std::vector<uint32_t> renewedDigests {};
    auto operator<=>(directory_update const&) const = default;
};

/// Position in a directory that is sent in pages: first the servers of the receiver's zone in the order of their
/// identifiers, then all others. It holds no state of the sender, so a receiver may continue at another host.
struct page_cursor {
    enum class pass : uint8_t {
        OwnZone,
        OtherZones,
    };
    pass zones = pass::OwnZone;
    /// The last identifier that was received in this pass; empty at its start.
    std::string afterId;
    auto operator<=>(page_cursor const&) const = default;
};

/// How servers are sent that the receiver probably knows from another control host.
enum class known_records : uint8_t {
    Included,
    /// By their tokens only. A receiver that does not know one of them has to request the directory again.
    Omitted,
};

/// Requests the next page of a directory, or the changes that the sender lacks.
struct directory_request {
    server_scope scope = server_scope::Own;
    /// The sender's availability zone.
    std::string zone;
    /// Epoch and revision of the receiver's own directory that the sender has stored; for the scope Own.
    uint64_t epoch = 0;
    uint64_t revision = 0;
    page_cursor cursor;
    known_records known = known_records::Included;
    auto operator<=>(directory_request const&) const = default;
};

/// How much of a control host's own directory a host has stored.
struct feed_position {
    /// The control host that the servers announce themselves to.
    ip_endpoint announcer;
    uint64_t epoch = 0;
    uint64_t revision = 0;
    auto operator<=>(feed_position const&) const = default;
};

struct page_record {
    aged_announcement server;
    /// Whether its announcements are overdue.
    bool isLate = false;
    /// Index into directory_page::positions.
    uint32_t announcer = 0;
    auto operator<=>(page_record const&) const = default;
};

/// A part of a directory that fits into one datagram.
struct directory_page {
    server_scope scope = server_scope::Own;
    std::vector<feed_position> positions;
    std::vector<page_record> records;
    page_cursor cursor;
    /// Where the next page starts.
    page_cursor next;
    bool isLast = false;
    auto operator<=>(directory_page const&) const = default;
};

/// Requests the exact times of the last announcements of servers that do not respond to callers. A lease tells them
/// only to within a few announcement intervals.
struct age_request {
    std::vector<uint32_t> tokens;
    auto operator<=>(age_request const&) const = default;
};

/// Response to age_request with the servers that announce themselves to its sender.
struct age_response {
    std::vector<server_age> servers;
    auto operator<=>(age_response const&) const = default;
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

using fleet_message = std::variant<hello_message, hello_response, directory_update, route_table, control_envelope,
    join_request, directory_request, directory_page, age_request, age_response, route_difference, evacuated_zones,
    warm_up_request, warm_up_grants, failure_report, failure_sums>;

} // namespace bilberryyard
