#pragma once

#include <Configuration/configuration.h>
#include <Coordination/coordinator_settings.h>

namespace bilberryyard {

/// Derives what the data plane needs from a configuration.
/// @param revision Revision of the configuration.
/// @param value The configuration.
/// @return The part that the coordinator acts on.
coordinated_configuration coordinatedConfigurationOf(uint64_t revision, configuration const& value);

} // namespace bilberryyard
