#pragma once

#include <absl/status/statusor.h>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace bilberryyard {

/// A complete configuration as its operator sent it.
struct versioned_document {
    /// The highest version is in force; 0 stands for no document.
    uint64_t version = 0;
    std::string bytes;
    auto operator<=>(versioned_document const&) const = default;

    /// @return The payload of a replicated entry.
    std::string encode() const;
    /// @param payload Result of encode().
    /// @return The document, or DataLoss.
    static absl::StatusOr<versioned_document> decode(std::string_view payload);
};

/// The replicated state: the document with the highest version. The first document of a version is kept, so that
/// what was acknowledged under a number never changes.
class document_register {
public:
    /// Applies a committed entry.
    /// @param payload Result of versioned_document::encode().
    /// @return Whether it is in force now; false when its version is not higher. DataLoss for a damaged payload.
    absl::StatusOr<bool> apply(std::string_view payload);

    /// @return The state for a snapshot.
    std::string snapshot() const { return m_current.encode(); }
    /// @param data Result of snapshot().
    /// @return Ok, or DataLoss.
    absl::Status restore(std::string_view data);

    versioned_document const& current() const { return m_current; }

private:
    versioned_document m_current;
};

} // namespace bilberryyard
