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

/// Bounds of the replicated state. Members of one cluster must use the same values, because they
/// decide which records the state holds.
struct state_machine_limits {
    /// Request ids. 2,500 changes a day make 4,096 more than a day and a half of changes.
    size_t requestCapacity = 4096;
    /// Audit entries; a week at 2,500 changes a day.
    size_t auditCapacity = 20000;
    /// Bytes of text in the audit entries. Typical entries have about 200 bytes, large ones 10,000.
    size_t auditBytes = size_t { 32 } * 1024 * 1024;
    auto operator<=>(state_machine_limits const&) const = default;
};

/// A configuration and its revision.
struct configuration_revision {
    uint64_t revision = 0;
    std::shared_ptr<configuration const> value;
};

/// The state that the replicated log builds (docs/design.md section 4). Deterministic: the same commands
/// give the same results and the same bytes of snapshot on every member.
class configuration_state_machine {
public:
    /// @param limits Bounds, the same on every member.
    explicit configuration_state_machine(state_machine_limits limits = {});

    /// Applies the next command of the log.
    /// @param command Bytes of configuration_command::encode; other bytes are refused and audited.
    /// @return The answer for the operator.
    command_result apply(std::string_view command);

    /// @return The revision and the configuration now.
    configuration_revision current() const { return { m_revision, m_configuration }; }

    /// @param requestId A request id.
    /// @return Its recorded result, or null.
    command_result const* findResult(std::string_view requestId) const;

    /// @param query The wanted range.
    /// @return The kept entries of the range: the first ones when the query names a first entry, otherwise
    ///     the latest ones.
    audit_page audit(audit_query const& query) const;

    /// @param base A revision.
    /// @return One line for each change that was accepted after that revision, at most 50.
    std::vector<std::string> changesSince(uint64_t base) const;

    /// @return The whole state as bytes.
    std::string snapshot() const;

    /// Replaces the state by that of a snapshot. On an error the state stays as it is.
    /// @param bytes Bytes of snapshot().
    /// @return DataLoss for other bytes.
    absl::Status restore(std::string_view bytes);

private:
    struct evaluation {
        command_result result;
        std::shared_ptr<configuration const> value;
        identifier_watermarks watermarks;
    };

    command_result decide(configuration_command const& command);
    absl::Status checkHeader(configuration_command const& command) const;
    evaluation evaluate(configuration_command const& command) const;
    absl::StatusOr<assigned_configuration> changed(configuration_command const& command) const;
    command_result refuse(absl::Status const& status) const;
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
