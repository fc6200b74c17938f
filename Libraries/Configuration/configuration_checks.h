#pragma once

#include <Configuration/configuration.h>
#include <optional>
#include <string>
#include <string_view>

namespace bilberryyard {

/// The first violated rule of a configuration.
struct configuration_fault {
    /// Where, for example "services[1].addresses[0]".
    std::string path;
    std::string message;
    auto operator<=>(configuration_fault const&) const = default;
};

/// Checks all rules of a configuration.
/// @param parts The parts.
/// @return The first fault, or nothing.
std::optional<configuration_fault> findConfigurationFault(configuration_parts const& parts);

/// Checks the name of a zone, a service or a deployment.
/// @param name The name.
/// @return Why it is not allowed, or nothing.
std::optional<std::string> findNameFault(std::string_view name);

/// Checks a reason or an author.
/// @param text The text.
/// @return Why it is not allowed, or nothing: empty or blank, longer than 500 bytes, not clean text on one line.
std::optional<std::string> findSentenceFault(std::string_view text);

} // namespace bilberryyard
