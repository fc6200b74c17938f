#pragma once

#include <absl/status/status.h>
#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace bilberryyard {

/// The closed list of error kinds. Every error that leaves a component is one of these.
enum class error_kind {
    InvalidArgument,
    NotFound,
    Conflict,
    Unavailable,
    NotLeader,
    DeadlineExceeded,
    ResourceExhausted,
    FailedPrecondition,
    DataLoss,
    PermissionDenied,
    Internal,
};

/// What a user of an interface sees of an error kind.
struct error_presentation {
    error_kind kind;
    /// Stable name, used in HTTP bodies and on the command line.
    std::string_view name;
    /// HTTP status code, RFC 9110 section 15.
    int httpStatus;
    /// Process exit code; sysexits.h values where one fits.
    int exitCode;
    auto operator<=>(error_presentation const&) const = default;
};

/// Creates an error status.
/// @param kind The kind from the closed list.
/// @param message What went wrong, for a person to read.
/// @return A status that is never ok.
absl::Status makeError(error_kind kind, std::string_view message);

/// Finds the kind of an error.
/// @param status An error status; statuses from other libraries map by their absl code.
/// @return The kind; Internal for codes outside the list.
error_kind errorKindOf(absl::Status const& status);

/// Looks up the table from kind to answer.
/// @param kind The kind.
/// @return Its row.
error_presentation const& presentationFor(error_kind kind);

/// Looks up a kind by its stable name.
/// @param name The name, for example "conflict".
/// @return The kind, or nothing for an unknown name.
std::optional<error_kind> errorKindByName(std::string_view name);

/// The message of a status as a standard string. Debian builds absl for C++14, where
/// absl::string_view is not std::string_view.
/// @param status Any status.
/// @return The message.
std::string messageOf(absl::Status const& status);

} // namespace bilberryyard
