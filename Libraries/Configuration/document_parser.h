#pragma once

#include <Configuration/document.h>
#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace bilberryyard {

/// Reads one YAML or JSON document. Anchors, aliases, tags, repeated keys, several documents in one
/// text, invalid UTF-8 and nesting deeper than 32 levels are refused.
/// @param text The text; JSON is read as the subset of YAML that it is.
/// @param file Name for messages.
/// @return The tree, or InvalidArgument with a message that starts with "file:line: ".
absl::StatusOr<document> parseDocument(std::string_view text, std::string_view file);

/// Reads a file and parses it.
/// @param path The file.
/// @return The tree; NotFound when the file cannot be opened, InvalidArgument for its errors.
absl::StatusOr<document> parseDocumentFile(std::string const& path);

/// Reads a whole file.
/// @param path The file.
/// @return Its contents; NotFound when it cannot be opened, ResourceExhausted above 16 MiB.
absl::StatusOr<std::string> readTextFile(std::string const& path);

/// Checks text that goes into messages, the audit trail and YAML files.
/// @param text Any bytes.
/// @return Whether the bytes are UTF-8 (RFC 3629) without control characters other than tab and line breaks.
bool isCleanText(std::string_view text);

} // namespace bilberryyard
