#pragma once

#include <Configuration/document.h>
#include <string>

namespace bilberryyard {

/// Writes a tree as YAML in block style. Reading the text gives an equal tree.
/// @param value The tree.
/// @return The text; ends with a line break.
std::string writeYaml(document const& value);

/// Writes a tree as JSON (RFC 8259) on one line.
/// @param value The tree.
/// @return The text, without a line break.
std::string writeJson(document const& value);

} // namespace bilberryyard
