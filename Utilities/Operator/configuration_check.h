#pragma once

#include <Configuration/configuration.h>
#include <Configuration/configuration_difference.h>
#include <Configuration/configuration_review.h>
#include <absl/status/statusor.h>
#include <optional>
#include <string>
#include <vector>

namespace bilberryyard {

/// The result of checking a configuration before it is sent.
struct configuration_report {
    /// The first error, with file, line and key; empty for a valid configuration.
    std::string error;
    /// Warnings with file, line and key.
    std::vector<std::string> warnings;
    /// What differs from the version to compare with; nullopt if there is none.
    std::optional<configuration_difference> difference;

    /// @return 0 for a clean configuration, 1 for warnings, 64 for an error.
    int exitCode() const;
    std::string toText() const;
    /// @return A JSON object with `error`, `warnings` and `difference`, followed by a line break.
    std::string toJson() const;
};

/// Checks a configuration with the checks of the control hosts, and reviews it for entries without effect. Sends
/// nothing.
/// @param file Path of the configuration.
/// @param inForce The configuration to compare with.
/// @return The report; NotFound if the file cannot be read.
absl::StatusOr<configuration_report> checkConfiguration(
    std::string const& file, std::optional<configuration> const& inForce);

} // namespace bilberryyard
