#pragma once

#include <Base/monotonic_time.h>
#include <Configuration/configuration.h>
#include <absl/status/statusor.h>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace bilberryyard {

/// Replaces the full configuration.
struct replace_configuration_change {
    /// The new configuration, not validated yet.
    configuration_parts parts;
    auto operator<=>(replace_configuration_change const&) const = default;
};

/// Adds one exception.
struct add_exception_change {
    configuration_exception exception;
    auto operator<=>(add_exception_change const&) const = default;
};

/// Removes one exception.
struct remove_exception_change {
    exception_target target;
    std::string key;
    auto operator<=>(remove_exception_change const&) const = default;
};

/// A change submitted by an operator, as stored in the replicated log. The contents are validated only when the command
/// is applied, so that every member gets the same result.
struct configuration_command {
    using change_type = std::variant<replace_configuration_change, add_exception_change, remove_exception_change>;

    /// Chosen by the operator's program; a resend must use the same one. 1 to 128 of the characters A-Z, a-z, 0-9, '.',
    /// '_', ':' and '-'.
    std::string requestId;
    uint64_t baseRevision = 0;
    std::string author;
    std::string reason;
    /// When the first control host received the request; shown in the audit trail only.
    wall_time time;
    change_type change;
    auto operator<=>(configuration_command const&) const = default;

    /// @return The payload of a log entry.
    std::string encode() const;

    /// @param bytes Result of encode().
    /// @return The command; InvalidArgument when the bytes cannot be decoded.
    static absl::StatusOr<configuration_command> decode(std::string_view bytes);

    /// @return A hash of everything except `time`, so that a resend has the same hash.
    uint64_t contentHash() const;
};

/// @return A change that replaces the configuration by `value`.
configuration_command::change_type makeReplaceChange(configuration const& value);

/// @return A change that adds an exception.
configuration_command::change_type makeAddExceptionChange(configuration_exception const& value);

/// Applies a change to a configuration, without assigning identifiers to new zones and services.
/// @return The changed configuration; InvalidArgument with the path of an invalid entry, Conflict when an exception to
///     add already exists, NotFound when an exception to remove does not exist.
absl::StatusOr<configuration> withChange(
    configuration const& current, configuration_command::change_type const& change);

/// @return Whether a request id has the allowed length and characters.
bool isValidRequestId(std::string_view requestId);

} // namespace bilberryyard
