#pragma once

#include <Configuration/configuration_command.h>
#include <absl/status/statusor.h>
#include <string>

namespace bilberryyard {

/// @param yaml A configuration as a trace holds it.
/// @return The change that replaces the configuration by it; InvalidArgument with the line of a mistake.
absl::StatusOr<configuration_command::change_type> readReplacement(std::string const& yaml);

} // namespace bilberryyard
