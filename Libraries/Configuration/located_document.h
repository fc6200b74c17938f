#pragma once

#include <Configuration/document.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace bilberryyard {

/// A value of a document with its place, so that every message names file, line and key.
class located_document {
public:
    /// The root of a document.
    /// @param file Name for messages; outlives this object.
    /// @param value The value; outlives this object.
    located_document(std::string_view file, document const& value);

    /// @param entry A member of this map.
    /// @return The member's value with its place.
    located_document member(document_member const& entry) const;

    /// @param index Index in the list.
    /// @return The element with its place.
    located_document item(size_t index) const;

    document const& value() const { return *m_value; }
    std::string const& path() const { return m_path; }
    std::string_view file() const { return m_file; }
    int line() const { return m_line; }

    /// @param message What is wrong.
    /// @return InvalidArgument "file:line: key: message".
    absl::Status fault(std::string_view message) const;

    /// @return InvalidArgument unless this is a map (or null, which counts as an empty map).
    absl::Status expectMap() const;
    /// @return InvalidArgument unless this is a list (or null, which counts as an empty list).
    absl::Status expectList() const;

    /// Refuses keys that are not known, with the nearest known key.
    /// @param known All keys that may be given here.
    /// @return InvalidArgument at the first unknown key, or when this is no map.
    absl::Status expectKeys(std::span<std::string_view const> known) const;

    /// @param key A key.
    /// @return The member; InvalidArgument when it is missing.
    absl::StatusOr<located_document> required(std::string_view key) const;

    /// @return The text; InvalidArgument when this is no scalar.
    absl::StatusOr<std::string> asText() const;

    /// @param minimum Smallest allowed value.
    /// @param maximum Largest allowed value.
    /// @return The number; InvalidArgument for another form or a value out of range.
    absl::StatusOr<uint64_t> asUnsigned(uint64_t minimum, uint64_t maximum) const;

    /// @return The truth value; InvalidArgument for anything but true and false.
    absl::StatusOr<bool> asBoolean() const;

    /// Finds the deepest existing place on a path.
    /// @param path For example "services[1].addresses[0]".
    /// @return The place; its parent when the last parts do not exist.
    located_document deepest(std::string_view path) const;

private:
    located_document(std::string_view file, document const& value, std::string path, int line);

    std::string_view m_file;
    document const* m_value;
    std::string m_path;
    int m_line;
};

} // namespace bilberryyard
