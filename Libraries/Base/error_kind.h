#pragma once

#include <absl/status/status.h>
#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace bilberryyard {

/// The complete list of error kinds. Every error that a component returns is of one of these kinds.
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

/// How an error kind is presented to users of the HTTP interface and of the command line.
struct error_presentation {
    error_kind kind;
    /// Stable name, used in HTTP bodies and on the command line.
    std::string_view name;
    /// HTTP status code, RFC 9110 section 15.
    int httpStatus;
    /// Process exit code; a value of sysexits.h where one fits.
    int exitCode;
    auto operator<=>(error_presentation const&) const = default;
};

/// @param message Describes what went wrong, for human readers.
/// @return A status that is never ok.
absl::Status makeError(error_kind kind, std::string_view message);

/// @param status An error status; statuses of other libraries are mapped by their absl code.
/// @return The kind; Internal for codes without a kind of their own.
error_kind errorKindOf(absl::Status const& status);

error_presentation const& presentationFor(error_kind kind);

/// @param name Stable name of a kind, for example "conflict".
/// @return The kind, or nothing for an unknown name.
std::optional<error_kind> errorKindByName(std::string_view name);

/// Returns the message of a status as a standard string. Debian builds absl for C++14, where absl::string_view is not
/// std::string_view.
std::string messageOf(absl::Status const& status);

} // namespace bilberryyard
