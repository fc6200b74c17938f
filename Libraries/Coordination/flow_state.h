#pragma once

#include <Membership/health_types.h>
#include <Routing/flow_explanation.h>
#include <Routing/routing_view.h>
#include <compare>
#include <cstdint>
#include <variant>
#include <vector>

namespace bilberryyard {

/// Commands of the coordinator to the thread that owns the flow router. Each command has at most one result.

/// Reads explicit entries for a filling witness.
struct export_command {
    host_id receiver;
    service_id service;
    std::vector<uint32_t> buckets;
    transfer_cursor cursor;
    size_t maximumFlows = 0;
    auto operator<=>(export_command const&) const = default;
};

/// Adds entries that a complete witness sent.
struct import_command {
    service_id service;
    std::vector<transferred_flow> flows;
    auto operator<=>(import_command const&) const = default;
};

/// Queries which of these buckets can settle.
struct settle_command {
    service_id service;
    table_stamp stamp;
    std::vector<uint32_t> buckets;
    auto operator<=>(settle_command const&) const = default;
};

using flow_command = std::variant<export_command, import_command, settle_command>;

struct export_result {
    export_command command;
    transfer_batch batch;
    auto operator<=>(export_result const&) const = default;
};

struct settle_result {
    service_id service;
    table_stamp stamp;
    /// The buckets of the command that can settle.
    std::vector<uint32_t> buckets;
    auto operator<=>(settle_result const&) const = default;
};

/// Handshake statistics by server since the last result.
struct handshake_statistics_result {
    std::vector<handshake_statistics> statistics;
    auto operator<=>(handshake_statistics_result const&) const = default;
};

using flow_result = std::variant<export_result, settle_result, handshake_statistics_result>;

} // namespace bilberryyard
