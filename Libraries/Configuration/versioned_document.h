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

/// The replicated state: the document with the highest version. A later document with the same version has no effect,
/// so that an acknowledged version never changes its contents.
class document_register {
public:
    /// Applies a committed entry.
    /// @param payload Result of versioned_document::encode().
    /// @return Whether the document is now in force; false when its version is not higher than the current one.
    ///     DataLoss when the payload cannot be decoded.
    absl::StatusOr<bool> apply(std::string_view payload);

    std::string snapshot() const { return m_current.encode(); }
    /// @param data Result of snapshot().
    /// @return DataLoss when the data cannot be decoded; the state stays unchanged then.
    absl::Status restore(std::string_view data);

    versioned_document const& current() const { return m_current; }

private:
    versioned_document m_current;
};

} // namespace bilberryyard
