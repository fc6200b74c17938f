#pragma once

#include <Routing/planner_types.h>
#include <Routing/replicated_table.h>
#include <compare>
#include <cstdint>
#include <variant>

namespace bilberryyard {

/// Requests a snapshot from the planner.
struct table_request {
    service_id service;
    /// peer_view::epoch() of the requesting host, returned in the snapshot.
    uint64_t epoch = 0;
    auto operator<=>(table_request const&) const = default;
};

/// The planner's table in response to a request.
struct table_snapshot {
    replicated_table content;
    uint64_t epoch = 0;
    bool operator==(table_snapshot const&) const = default;
};

/// A host's table with changes that the planner's snapshot lacks.
struct table_offer {
    replicated_table content;
    bool operator==(table_offer const&) const = default;
};

/// Messages about tables between entry hosts, apart from heartbeats.
using table_message
    = std::variant<table_delta, table_request, table_snapshot, table_offer, settled_report, filled_report>;

/// A message and the peer that should receive it.
struct addressed_message {
    host_id receiver;
    table_message message;
    bool operator==(addressed_message const&) const = default;
};

} // namespace bilberryyard
