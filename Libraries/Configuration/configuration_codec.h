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

/// @return A serialized configuration; equal configurations give equal bytes.
std::string encodeConfiguration(configuration const& value);

/// @param bytes Result of encodeConfiguration().
/// @return The configuration; InvalidArgument when the bytes cannot be decoded or the configuration is invalid.
absl::StatusOr<configuration> decodeConfiguration(std::string_view bytes);

/// @param message Must be empty.
void toMessage(configuration_parts const& parts, messages::Configuration& message);

/// @return The parts, not validated by findConfigurationError(); InvalidArgument for a malformed message.
absl::StatusOr<configuration_parts> fromMessage(messages::Configuration const& message);

/// @param message Must be empty.
void toMessage(configuration_exception const& exception, messages::ConfigurationException& message);

/// @return The exception, not validated; InvalidArgument for a malformed message.
absl::StatusOr<configuration_exception> fromMessage(messages::ConfigurationException const& message);

/// @param message Must be empty.
void toMessage(command_result const& result, messages::ConfigurationResult& message);

/// @return The result; DataLoss for an unknown error kind.
absl::StatusOr<command_result> fromMessage(messages::ConfigurationResult const& message);

/// @param message Must be empty.
void toMessage(audit_entry const& entry, messages::ConfigurationAuditEntry& message);

/// @return The audit entry; DataLoss for an unknown error kind.
absl::StatusOr<audit_entry> fromMessage(messages::ConfigurationAuditEntry const& message);

} // namespace bilberryyard
