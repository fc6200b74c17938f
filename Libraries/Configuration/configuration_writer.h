#pragma once

#include <Configuration/configuration.h>
#include <Configuration/document.h>
#include <string>

namespace bilberryyard {

/// @param value A configuration.
/// @return The tree that configuration_reader reads as an equal configuration; every default is written.
document toDocument(configuration const& value);

/// @param value An exception.
/// @return The tree that configuration_reader::readException reads.
document toDocument(configuration_exception const& value);

/// @param settings Any settings.
/// @return A map of all settings.
document toDocument(effective_settings const& settings);

/// @param value A configuration.
/// @return Canonical YAML: equal configurations give equal bytes.
std::string writeConfiguration(configuration const& value);

} // namespace bilberryyard
