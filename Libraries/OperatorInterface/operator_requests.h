#pragma once

#include <Base/identifiers.h>
#include <Configuration/audit_entry.h>
#include <Configuration/configuration_command.h>
#include <Configuration/configuration_state_machine.h>
#include <Configuration/endpoint.h>
#include <OperatorInterface/http_request.h>
#include <absl/status/statusor.h>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bilberryyard {

/// The body of POST /v1/changes, checked before it is proposed. The time is left for the caller to set.
/// @param request The request.
/// @return The command; InvalidArgument that names file, line and key.
absl::StatusOr<configuration_command> readChangeRequest(http_request const& request);

/// A control host as `member` commands name it.
struct control_member {
    host_id host;
    endpoint peer;
    endpoint distribution;
    auto operator<=>(control_member const&) const = default;
};

enum class member_change_kind {
    Add,
    Remove,
};

/// A change of the members of the replicated log.
struct member_change {
    member_change_kind kind = member_change_kind::Add;
    /// For Remove only the host is set.
    control_member member;
    std::string requestId;
    std::string author;
    std::string reason;
    auto operator<=>(member_change const&) const = default;
};

/// Reads POST /v1/members and DELETE /v1/members/HOST.
/// @param request The request.
/// @return The change; InvalidArgument that names the key.
absl::StatusOr<member_change> readMemberRequest(http_request const& request);

/// Reads the query of GET /v1/audit.
/// @param request The request.
/// @return The query; InvalidArgument for a parameter that is unknown or no number.
absl::StatusOr<audit_query> readAuditRequest(http_request const& request);

/// Checks that a request has no query parameters but the known ones.
/// @param request The request.
/// @param known Names of parameters.
/// @return InvalidArgument with the nearest known name.
absl::Status expectParameters(http_request const& request, std::vector<std::string_view> const& known);

} // namespace bilberryyard
