#pragma once

#include <Configuration/audit_entry.h>
#include <Configuration/command_result.h>
#include <Configuration/configuration.h>
#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace bilberryyard::messages {
class Configuration;
class ConfigurationException;
class ConfigurationAuditEntry;
class ConfigurationResult;
} // namespace bilberryyard::messages

namespace bilberryyard {

/// @param value A configuration.
/// @return Bytes that decodeConfiguration reads; equal configurations give equal bytes.
std::string encodeConfiguration(configuration const& value);

/// @param bytes Bytes of encodeConfiguration.
/// @return The configuration; InvalidArgument for other bytes or a violated rule.
absl::StatusOr<configuration> decodeConfiguration(std::string_view bytes);

/// @param parts A configuration.
/// @param message Receives it.
void toMessage(configuration_parts const& parts, messages::Configuration& message);

/// @param message A message.
/// @return The parts, not checked except for their form; InvalidArgument for a form that no model has.
absl::StatusOr<configuration_parts> fromMessage(messages::Configuration const& message);

/// @param exception An exception.
/// @param message Receives it.
void toMessage(configuration_exception const& exception, messages::ConfigurationException& message);

/// @param message A message.
/// @return The exception, not checked except for its form; InvalidArgument for a form that no exception has.
absl::StatusOr<configuration_exception> fromMessage(messages::ConfigurationException const& message);

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
