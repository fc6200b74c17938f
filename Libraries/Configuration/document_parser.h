#pragma once

#include <Configuration/document.h>
#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace bilberryyard {

/// Parses one YAML or JSON document. Anchors, aliases, tags, repeated keys, several documents in one
/// text, invalid UTF-8, control characters and nesting deeper than 32 levels are refused.
/// @param text YAML; JSON is parsed as a subset of YAML.
/// @param file Name of the source in error messages.
/// @return The root of the document; InvalidArgument with a message that starts with "file:line: ".
absl::StatusOr<document> parseDocument(std::string_view text, std::string_view file);

/// @return The root of the document; the errors of readTextFile() and parseDocument().
absl::StatusOr<document> parseDocumentFile(std::string const& path);

/// Reads a complete file into memory.
/// @return NotFound when the file cannot be opened or read, ResourceExhausted above 16 MiB.
absl::StatusOr<std::string> readTextFile(std::string const& path);

/// Checks text before it is used in error messages, the audit trail and YAML files.
/// @return Whether the bytes are UTF-8 (RFC 3629) without control characters other than tab and line breaks.
bool isValidText(std::string_view text);

} // namespace bilberryyard
