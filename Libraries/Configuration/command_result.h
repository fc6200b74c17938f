#pragma once

#include <Base/error_kind.h>
#include <absl/status/statusor.h>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bilberryyard {

/// The result of a command. A resent command gets the same result.
struct command_result {
    /// Not set when the change was accepted.
    std::optional<error_kind> error;
    /// Why the change was refused. When it was accepted: empty, or "no change".
    std::string message;
    /// Revision of the configuration after the command.
    uint64_t revision = 0;
    /// One line for each change: those of the accepted command or, on Conflict, those since the base revision.
    std::vector<std::string> difference;
    auto operator<=>(command_result const&) const = default;

    bool isAccepted() const { return !error.has_value(); }
    absl::Status toStatus() const;

    std::string encode() const;
    /// @param bytes Result of encode().
    /// @return The result; DataLoss when the bytes cannot be decoded.
    static absl::StatusOr<command_result> decode(std::string_view bytes);
};

} // namespace bilberryyard
