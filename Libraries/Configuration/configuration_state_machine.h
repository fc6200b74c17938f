#pragma once

#include <Configuration/audit_entry.h>
#include <Configuration/command_result.h>
#include <Configuration/configuration.h>
#include <Configuration/configuration_command.h>
#include <Configuration/identifier_assignment.h>
#include <Configuration/request_table.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bilberryyard {

/// Limits of the replicated state. All members of a cluster must use the same values, because these determine which
/// records the state contains.
struct state_machine_limits {
    /// Maximum number of stored request ids: at 2,500 changes a day, those of more than a day and a half.
    size_t requestCapacity = 4096;
    /// Maximum number of audit entries: at 2,500 changes a day, those of more than a week.
    size_t auditCapacity = 20000;
    /// Maximum size of the text in all audit entries. A typical entry has about 200 bytes, a large one 10,000.
    size_t auditBytes = size_t { 32 } * 1024 * 1024;
    auto operator<=>(state_machine_limits const&) const = default;
};

/// A configuration and its revision.
struct configuration_revision {
    uint64_t revision = 0;
    std::shared_ptr<configuration const> value;
};

/// The state machine of the replicated log (docs/design.md section 4). It is deterministic: the same commands give the
/// same results and byte-identical snapshots on every member.
class configuration_state_machine {
public:
    explicit configuration_state_machine(state_machine_limits limits = {});

    /// Applies the next command of the log.
    /// @param command Result of configuration_command::encode(); bytes that cannot be decoded are refused and audited.
    /// @return The result for the operator.
    command_result apply(std::string_view command);

    configuration_revision current() const { return { m_revision, m_configuration }; }

    /// @return The stored result of a request id, or null.
    command_result const* findResult(std::string_view requestId) const;

    /// @return The stored entries of the requested range, up to the limit of the query: the first ones when the query
    ///     has a first entry, otherwise the latest ones.
    audit_page audit(audit_query const& query) const;

    /// @return One line for each change that was accepted after the revision `base`, at most 50 and the number of those
    ///     left out.
    std::vector<std::string> changesSince(uint64_t base) const;

    /// @return The serialized full state.
    std::string snapshot() const;

    /// Replaces the state by that of a snapshot. The state stays unchanged on an error.
    /// @param bytes Result of snapshot().
    /// @return DataLoss when the bytes cannot be decoded or contain an invalid state.
    absl::Status restore(std::string_view bytes);

private:
    struct evaluation {
        command_result result;
        std::shared_ptr<configuration const> value;
        identifier_watermarks watermarks;
    };

    command_result execute(configuration_command const& command);
    absl::Status checkAuthorAndReason(configuration_command const& command) const;
    evaluation evaluate(configuration_command const& command) const;
    absl::StatusOr<assigned_configuration> changedConfiguration(configuration_command const& command) const;
    command_result makeRefusal(absl::Status const& status) const;
    void trimAudit();
    void replaceAudit(std::deque<audit_entry> entries, uint64_t next);
    void addAuditEntry(configuration_command const& command, command_result const& result);

    state_machine_limits m_limits;
    uint64_t m_revision = 0;
    std::shared_ptr<configuration const> m_configuration;
    identifier_watermarks m_watermarks;
    request_table m_requests;
    uint64_t m_nextAuditSequence = 1;
    std::deque<audit_entry> m_audit;
    size_t m_auditBytes = 0;
};

} // namespace bilberryyard
