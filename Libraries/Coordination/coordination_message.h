#pragma once

#include <Membership/peer_view.h>
#include <Membership/server_record.h>
#include <Routing/bucket_table.h>
#include <Routing/flow_explanation.h>
#include <Routing/planner_types.h>
#include <Routing/replicated_table.h>
#include <compare>
#include <cstdint>
#include <string>
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

/// Changed server records of the sender's directory.
struct records_message {
    std::vector<server_record> records;
    auto operator<=>(records_message const&) const = default;
};

/// Changes that the planner publishes.
struct delta_message {
    routed_peer planner;
    table_delta delta;
    auto operator<=>(delta_message const&) const = default;
};

/// What a host holds of one service's table.
struct table_summary {
    service_id service;
    /// bucket_table::digest().
    uint64_t digest = 0;
    table_lineage lineage;
    auto operator<=>(table_summary const&) const = default;
};

/// Asks the planner for its tables, stating those that the sender holds.
struct table_request {
    /// peer_view::epoch() of the sender, returned in the answer.
    uint64_t epoch = 0;
    std::vector<table_summary> held;
    auto operator<=>(table_request const&) const = default;
};

/// A table in transport form.
struct table_transfer {
    table_delta snapshot;
    uint32_t bucketCount = 0;
    table_lineage lineage;
    auto operator<=>(table_transfer const&) const = default;
};

/// A table that the requester holds already, but for its version and lineage.
struct table_confirmation {
    service_id service;
    uint64_t version = 0;
    table_lineage lineage;
    auto operator<=>(table_confirmation const&) const = default;
};

/// The planner's answer. While `wanted` is not empty the answer is incomplete: the requester offers these
/// tables first, because they contain changes that the planner does not know.
struct table_answer {
    routed_peer planner;
    uint64_t epoch = 0;
    std::vector<service_id> wanted;
    std::vector<table_confirmation> confirmed;
    std::vector<table_transfer> tables;
    auto operator<=>(table_answer const&) const = default;
};

/// Tables that the planner asked for.
struct table_offer {
    std::vector<table_transfer> tables;
    auto operator<=>(table_offer const&) const = default;
};

/// Asks a complete witness for the next explicit entries of buckets that the sender fills.
struct fill_request {
    service_id service;
    std::vector<uint32_t> buckets;
    transfer_cursor cursor;
    auto operator<=>(fill_request const&) const = default;
};

/// A part of the explicit entries.
struct fill_answer {
    service_id service;
    /// Cursor of the request that this answers.
    transfer_cursor cursor;
    transfer_batch batch;
    auto operator<=>(fill_answer const&) const = default;
};

/// The planner tells a leaving host that no host depends on it any more.
struct leave_permission {
    auto operator<=>(leave_permission const&) const = default;
};

/// A message between the coordinators of two entry hosts.
struct coordination_message {
    routed_peer sender;
    std::variant<heartbeat_message, records_message, delta_message, table_request, table_answer, table_offer,
        fill_request, fill_answer, settled_report, filled_report, leave_permission>
        body;
    auto operator<=>(coordination_message const&) const = default;
};

/// A message with the host that it goes to.
struct outgoing_message {
    host_id receiver;
    coordination_message message;
    auto operator<=>(outgoing_message const&) const = default;
};

} // namespace bilberryyard
