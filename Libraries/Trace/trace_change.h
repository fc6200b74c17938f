#pragma once

#include <Configuration/configuration_command.h>
#include <absl/status/statusor.h>
#include <string>

namespace bilberryyard {

/// @param yaml Full configuration in a trace.
/// @return A change that replaces the current configuration with it, or InvalidArgument with the line of the error.
absl::StatusOr<configuration_command::change_type> readReplaceChange(std::string const& yaml);

} // namespace bilberryyard
