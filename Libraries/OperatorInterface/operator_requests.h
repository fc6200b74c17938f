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

/// Parses and validates the body of POST /v1/changes. The caller sets the time of the command.
/// @return The command; InvalidArgument with file, line and key of the error.
absl::StatusOr<configuration_command> readChangeRequest(http_request const& request);

/// A control host in the requests and responses of /v1/members.
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
    /// For Remove, only the host is set.
    control_member member;
    std::string requestId;
    std::string author;
    std::string reason;
    auto operator<=>(member_change const&) const = default;
};

/// Parses POST /v1/members and DELETE /v1/members/HOST.
/// @return The change; InvalidArgument with the key of the error.
absl::StatusOr<member_change> readMemberRequest(http_request const& request);

/// Parses the query of GET /v1/audit.
/// @return The query; InvalidArgument for a parameter that is unknown or not a number in its range.
absl::StatusOr<audit_query> readAuditRequest(http_request const& request);

/// Checks that a request has no unknown query parameters.
/// @return InvalidArgument for an unknown one, with the most similar known name.
absl::Status expectParameters(http_request const& request, std::vector<std::string_view> const& known);

} // namespace bilberryyard
