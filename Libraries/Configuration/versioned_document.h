#pragma once

#include <absl/status/statusor.h>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace bilberryyard {

/// A complete configuration in the form in which the operator sent it.
struct versioned_document {
    /// The document with the highest version is in force; 0 means that there is no document.
    uint64_t version = 0;
    std::string bytes;
    auto operator<=>(versioned_document const&) const = default;

    /// @return The payload of a replicated entry.
    std::string encode() const;
    /// @param payload Result of encode().
    /// @return The document; DataLoss when the payload is too short.
    static absl::StatusOr<versioned_document> decode(std::string_view payload);
};

} // namespace bilberryyard
