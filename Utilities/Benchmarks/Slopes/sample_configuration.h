#pragma once

#include <Configuration/configuration_command.h>
#include <absl/status/statusor.h>

namespace bilberryyard {

/// @return a configuration with one address a service, 16 zones and no exception
absl::StatusOr<configuration> makeSampleConfiguration(uint32_t services);

/// @return the command that replaces the whole configuration
configuration_command replaceCommand(uint32_t number, uint64_t base, configuration const& value);

/// @return the command that sets the weight of one server by an exception
configuration_command exceptionCommand(uint32_t number, uint64_t base);

} // namespace bilberryyard
