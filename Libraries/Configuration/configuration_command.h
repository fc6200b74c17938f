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

/// Replaces the whole configuration.
struct replace_configuration_change {
    /// The new configuration, not checked yet.
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

/// A change that an operator submits, as the replicated log carries it. The contents are checked when
/// the command is applied, so that every member comes to the same result.
struct configuration_command {
    using change_type = std::variant<replace_configuration_change, add_exception_change, remove_exception_change>;

    /// Chosen by the operator's program and kept over resends; 1 to 128 of the characters A-Z, a-z, 0-9, '.', '_',
    /// ':' and '-'.
    std::string requestId;
    uint64_t baseRevision = 0;
    std::string author;
    std::string reason;
    /// When the first host received the request; shown by the audit trail, without effect on the result.
    wall_time time;
    change_type change;
    auto operator<=>(configuration_command const&) const = default;

    /// @return The bytes that the log stores.
    std::string encode() const;

    /// @param bytes A command of the log.
    /// @return The command; InvalidArgument for bytes that are no command.
    static absl::StatusOr<configuration_command> decode(std::string_view bytes);

    /// @return A hash of everything but the time, the same for a resend.
    uint64_t contentHash() const;
};

/// @param value The new configuration.
/// @return The change that replaces the configuration by it.
configuration_command::change_type makeReplaceChange(configuration const& value);

/// @param value The exception.
/// @return The change that adds it.
configuration_command::change_type makeAddExceptionChange(configuration_exception const& value);

/// Carries out a change, without numbers for new zones and services.
/// @param current The configuration that it changes.
/// @param change The change.
/// @return The changed configuration; InvalidArgument with the place of a mistake, Conflict for an exception
///     that exists, NotFound for one that does not.
absl::StatusOr<configuration> withChange(
    configuration const& current, configuration_command::change_type const& change);

/// @param requestId A request id.
/// @return Whether it has the allowed length and characters.
bool isValidRequestId(std::string_view requestId);

} // namespace bilberryyard
