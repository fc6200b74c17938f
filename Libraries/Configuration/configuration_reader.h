#pragma once

#include <Configuration/configuration.h>
#include <Configuration/document.h>
#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace bilberryyard {

/// Reads a configuration from YAML or JSON. Every message names file, line and key.
class configuration_reader {
public:
    /// @param file Name of the source for messages.
    explicit configuration_reader(std::string file);

    /// @param text The text.
    /// @return The configuration; zones and services without `id` have number 0.
    absl::StatusOr<configuration> read(std::string_view text) const;

    /// @param value A parsed document.
    /// @return The configuration.
    absl::StatusOr<configuration> read(document const& value) const;

    /// Reads one exception of the form that the list `exceptions` has.
    /// @param value A parsed document.
    /// @return The exception. Its target is not looked up.
    absl::StatusOr<configuration_exception> readException(document const& value) const;

private:
    std::string m_file;
};

/// Reads a configuration file.
/// @param path The file.
/// @return The configuration; NotFound when the file cannot be opened.
absl::StatusOr<configuration> readConfigurationFile(std::string const& path);

} // namespace bilberryyard
