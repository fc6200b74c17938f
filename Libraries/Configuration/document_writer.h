#pragma once

#include <Configuration/document.h>
#include <string>

namespace bilberryyard {

/// Writes a document as YAML in block style. Parsing the text gives an equal document.
/// @return The text; ends with a line break.
std::string writeYaml(document const& value);

/// Writes a document as JSON (RFC 8259) on one line.
/// @return The text, without a line break.
std::string writeJson(document const& value);

} // namespace bilberryyard
