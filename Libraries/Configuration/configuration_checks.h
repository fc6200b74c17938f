#pragma once

#include <Configuration/configuration.h>
#include <optional>
#include <string>
#include <string_view>

namespace bilberryyard {

/// A violated rule of a configuration.
struct configuration_error {
    /// Path of the invalid entry, for example "services[1].addresses[0]".
    std::string path;
    std::string message;
    auto operator<=>(configuration_error const&) const = default;
};

/// Checks all rules of a configuration.
/// @return The first error, or nothing.
std::optional<configuration_error> findConfigurationError(configuration_parts const& parts);

/// Checks the name of a zone, a service or a deployment.
/// @return Why the name is not allowed, or nothing.
std::optional<std::string> findNameError(std::string_view name);

/// Checks a reason or an author.
/// @return Why the text is not allowed, or nothing. It must not be blank or longer than 500 bytes, and must be one line
///     of valid text (isValidText()).
std::optional<std::string> findTextError(std::string_view text);

} // namespace bilberryyard
