#pragma once

#include <Configuration/configuration_command.h>
#include <absl/status/statusor.h>

namespace bilberryyard {

/// @return A configuration with one address per service, 16 zones and no exceptions.
absl::StatusOr<configuration> makeSampleConfiguration(uint32_t services);

/// @return A command that replaces the full configuration.
configuration_command replaceCommand(uint32_t number, uint64_t base, configuration const& value);

/// @return A command that adds an exception for the weight of one server.
configuration_command exceptionCommand(uint32_t number, uint64_t base);

} // namespace bilberryyard
