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

/// A heartbeat with the data that other hosts show in their status output.
struct heartbeat_message {
    peer_heartbeat heartbeat;
    /// Current configuration revision of the sender.
    uint64_t configurationRevision = 0;
    auto operator<=>(heartbeat_message const&) const = default;
};

/// A renewed lease and a new load report of a server whose record the receiver already has. Most announcements change
/// nothing else, and this needs a quarter of the size of a full record.
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

/// Handshake statistics of the sender's packet thread since its last such message.
struct handshake_statistics_message {
    std::vector<handshake_statistics> statistics;
    auto operator<=>(handshake_statistics_message const&) const = default;
};

/// Requests from a complete witness the next explicit entries of buckets in which the sender is a filling witness.
struct fill_request {
    service_id service;
    std::vector<uint32_t> buckets;
    transfer_cursor cursor;
    auto operator<=>(fill_request const&) const = default;
};

/// A batch of explicit entries in response to a fill_request.
struct fill_response {
    service_id service;
    /// Cursor of the request.
    transfer_cursor cursor;
    transfer_batch batch;
    auto operator<=>(fill_response const&) const = default;
};

/// Notification of the planner to a leaving host that no other host depends on it any more.
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

/// A message with its receiver.
struct outgoing_message {
    host_id receiver;
    coordination_message message;
    bool operator==(outgoing_message const&) const = default;
};

} // namespace bilberryyard
