#pragma once

#include <Base/identifiers.h>
#include <Base/monotonic_time.h>
#include <Configuration/audit_entry.h>
#include <Configuration/command_result.h>
#include <Configuration/configuration.h>
#include <Configuration/configuration_command.h>
#include <OperatorInterface/operator_requests.h>
#include <absl/status/statusor.h>
#include <compare>
#include <concepts>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bilberryyard {

enum class read_consistency {
    /// A leader with a valid lease confirmed that no later revision was accepted.
    Current,
    /// The latest revision that this host knows; a later one may exist.
    Stale,
};

/// The configuration as one host knows it.
struct configuration_reading {
    uint64_t revision = 0;
    std::shared_ptr<configuration const> value;
    read_consistency consistency = read_consistency::Stale;
    /// Time since the revision was last confirmed as the latest one.
    duration age {};
};

/// One row of `bilberryyard status`.
struct host_status {
    host_id host;
    std::string zone;
    /// "balancer", "control" or both.
    std::vector<std::string> roles;
    /// For example "leader", "synchronised", "isolated" or "not heard from".
    std::string condition;
    /// Revision in effect on the host; nothing when it has not reported one.
    std::optional<uint64_t> activeRevision;
    /// Time since the last message of the host was received.
    duration age {};
    auto operator<=>(host_status const&) const = default;
};

/// The operations on the replicated log and the host status that the operator interface uses. The functions are
/// called from several threads and block for a few seconds at most.
///
/// - propose: appends a command to the log and waits for its result. A refused change is returned as a result. An
///   error (NotLeader, Unavailable or DeadlineExceeded) means that the outcome is unknown or that nothing was proposed.
/// - read: the configuration with its age.
/// - audit: a page of the audit trail.
/// - status: one row for each host.
/// - members: the members of the replicated log.
/// - changeMembers: adds or removes one member. Adding a present member with equal addresses and removing an
///   absent one succeed, so that a request can safely be resent.
template <typename Backend>
concept configuration_backend = requires(
    Backend& backend, configuration_command const& command, audit_query const& query, member_change const& change)
{
    {
        backend.propose(command)
        } -> std::same_as<absl::StatusOr<command_result>>;
    {
        backend.read()
        } -> std::same_as<absl::StatusOr<configuration_reading>>;
    {
        backend.audit(query)
        } -> std::same_as<absl::StatusOr<audit_page>>;
    {
        backend.status()
        } -> std::same_as<absl::StatusOr<std::vector<host_status>>>;
    {
        backend.members()
        } -> std::same_as<absl::StatusOr<std::vector<control_member>>>;
    {
        backend.changeMembers(change)
        } -> std::same_as<absl::Status>;
};

} // namespace bilberryyard
