#pragma once

#include <Configuration/configuration.h>
#include <Configuration/document.h>
#include <string>

namespace bilberryyard {

/// @return The document that configuration_reader reads as an equal configuration; contains every default.
document toDocument(configuration const& value);

/// @return The document that configuration_reader::readException reads.
document toDocument(configuration_exception const& value);

/// @return A map of all settings.
document toDocument(effective_settings const& settings);

/// @return Canonical YAML: equal configurations give equal bytes.
std::string writeConfiguration(configuration const& value);

} // namespace bilberryyard
