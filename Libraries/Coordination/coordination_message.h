#pragma once

#include <Membership/health_types.h>
#include <Membership/peer_view.h>
#include <Membership/server_record.h>
#include <Membership/table_message.h>
#include <Routing/flow_explanation.h>
#include <Routing/planner_types.h>
#include <cstdint>
#include <variant>
#include <vector>

namespace bilberryyard {

/// A heartbeat, with what other hosts show in their status.
struct heartbeat_message {
    peer_heartbeat heartbeat;
    /// Configuration revision in force.
    uint64_t configurationRevision = 0;
    auto operator<=>(heartbeat_message const&) const = default;
};

/// A renewed lease and a new load report of a server whose record the receiver has. A quarter of the size of
/// a record, because most announcements change nothing else.
struct record_renewal {
    server_id server;
    uint32_t sequence = 0;
    load_report load;
    auto operator<=>(record_renewal const&) const = default;
};

/// Changed server records of the sender's directory.
struct records_message {
    std::vector<server_record> records;
    std::vector<record_renewal> renewals;
    auto operator<=>(records_message const&) const = default;
};

/// What the sender's packet thread counted since its last evidence.
struct handshake_statistics_message {
    std::vector<handshake_statistics> evidence;
    auto operator<=>(handshake_statistics_message const&) const = default;
};

/// Asks a complete witness for the next explicit entries of buckets that the sender fills.
struct fill_request {
    service_id service;
    std::vector<uint32_t> buckets;
    transfer_cursor cursor;
    auto operator<=>(fill_request const&) const = default;
};

/// A part of the explicit entries.
struct fill_response {
    service_id service;
    /// Cursor of the request that this answers.
    transfer_cursor cursor;
    transfer_batch batch;
    auto operator<=>(fill_response const&) const = default;
};

/// The planner tells a leaving host that no host depends on it any more.
struct leave_permission {
    auto operator<=>(leave_permission const&) const = default;
};

/// A message between the coordinators of two entry hosts.
struct coordination_message {
    using body_type = std::variant<heartbeat_message, records_message, handshake_statistics_message, table_message,
        fill_request, fill_response, leave_permission>;

    routed_peer sender;
    body_type body;
    bool operator==(coordination_message const&) const = default;
};

/// A message with the host that it goes to.
struct outgoing_message {
    host_id receiver;
    coordination_message message;
    bool operator==(outgoing_message const&) const = default;
};

} // namespace bilberryyard
