#pragma once

#include <Configuration/document.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace bilberryyard {

/// A value of a document together with its source location, so that error messages name file, line and key.
class located_document {
public:
    /// Creates the root of a document. Both parameters must outlive this object and everything derived from it.
    /// @param file Name of the source in error messages.
    located_document(std::string_view file, document const& value);

    /// @param entry A member of this map; must outlive the result.
    /// @return The member's value with its location.
    located_document member(document_member const& entry) const;

    /// @param index Must be less than the number of elements of this list.
    /// @return The element with its location.
    located_document item(size_t index) const;

    document const& value() const { return *m_value; }
    std::string const& path() const { return m_path; }
    std::string_view file() const { return m_file; }
    int line() const { return m_line; }

    /// @return InvalidArgument with the text "file:line: path: message".
    absl::Status inputError(std::string_view message) const;

    /// @return InvalidArgument unless this is a map (or null, which counts as an empty map).
    absl::Status expectMap() const;
    /// @return InvalidArgument unless this is a list (or null, which counts as an empty list).
    absl::Status expectList() const;

    /// Checks that this is a map without unknown keys.
    /// @param known All keys that are allowed here.
    /// @return InvalidArgument for the first unknown key, with the most similar known key, or when this is not a map.
    absl::Status expectKeys(std::span<std::string_view const> known) const;

    /// @return The member with this key; InvalidArgument when it is missing.
    absl::StatusOr<located_document> required(std::string_view key) const;

    /// @return The text; InvalidArgument when this is not a scalar.
    absl::StatusOr<std::string> asText() const;

    /// @param minimum Smallest allowed value.
    /// @param maximum Largest allowed value.
    /// @return The number; InvalidArgument when this is not a decimal integer or is out of range.
    absl::StatusOr<uint64_t> asUnsigned(uint64_t minimum, uint64_t maximum) const;

    /// @return InvalidArgument for anything but true and false.
    absl::StatusOr<bool> asBoolean() const;

    /// Follows a path as far as its parts exist.
    /// @param path Relative to this value, for example "services[1].addresses[0]".
    /// @return The last value that exists on the path.
    located_document deepest(std::string_view path) const;

private:
    located_document(std::string_view file, document const& value, std::string path, int line);

    std::string_view m_file;
    document const* m_value;
    std::string m_path;
    int m_line;
};

} // namespace bilberryyard
