#pragma once

#include <Configuration/configuration.h>
#include <Configuration/document.h>
#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace bilberryyard {

/// Reads a configuration from YAML or JSON. Every error message names file, line and key.
class configuration_reader {
public:
    /// @param file Name of the source in error messages.
    explicit configuration_reader(std::string file);

    /// @return The configuration; zones and services without `id` get the identifier 0. InvalidArgument for errors.
    absl::StatusOr<configuration> read(std::string_view text) const;

    /// As above, for a parsed document.
    absl::StatusOr<configuration> read(document const& value) const;

    /// Reads one exception in the format of an element of the list `exceptions`.
    /// @return The exception; whether its target exists is not checked.
    absl::StatusOr<configuration_exception> readException(document const& value) const;

private:
    std::string m_file;
};

/// Reads a configuration file.
/// @return The configuration; NotFound when the file cannot be opened, InvalidArgument for errors in it.
absl::StatusOr<configuration> readConfigurationFile(std::string const& path);

} // namespace bilberryyard
