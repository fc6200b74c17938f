#pragma once

#include <Configuration/audit_entry.h>
#include <Configuration/command_result.h>
#include <absl/status/statusor.h>

namespace bilberryyard::messages {
class ConfigurationAuditEntry;
class ConfigurationResult;
} // namespace bilberryyard::messages

namespace bilberryyard {

/// @param result A result.
/// @param message Receives it.
void toMessage(command_result const& result, messages::ConfigurationResult& message);

/// @param message A message.
/// @return The result; DataLoss for an unknown error kind.
absl::StatusOr<command_result> fromMessage(messages::ConfigurationResult const& message);

/// @param entry An audit entry.
/// @param message Receives it.
void toMessage(audit_entry const& entry, messages::ConfigurationAuditEntry& message);

/// @param message A message.
/// @return The audit entry; DataLoss for an unknown error kind.
absl::StatusOr<audit_entry> fromMessage(messages::ConfigurationAuditEntry const& message);

} // namespace bilberryyard
