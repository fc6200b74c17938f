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

/// The answer to a command. A resend gets the same value.
struct command_result {
    /// Nothing when the change was accepted.
    std::optional<error_kind> error;
    /// Why the change was refused; empty when it was accepted.
    std::string message;
    /// Revision after the command.
    uint64_t revision = 0;
    /// Accepted: what the change did. Conflict: what has changed since the base revision.
    std::vector<std::string> difference;
    auto operator<=>(command_result const&) const = default;

    bool isAccepted() const { return !error.has_value(); }
    /// @return Ok, or the error with its message.
    absl::Status toStatus() const;

    /// @return The bytes that decode reads.
    std::string encode() const;
    /// @param bytes An encoded result.
    /// @return The result; DataLoss for other bytes.
    static absl::StatusOr<command_result> decode(std::string_view bytes);
};

} // namespace bilberryyard
