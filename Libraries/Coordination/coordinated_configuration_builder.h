#pragma once

#include <Configuration/configuration.h>
#include <Coordination/coordinator_settings.h>

namespace bilberryyard {

/// Extracts the part of a configuration that the coordinator uses.
coordinated_configuration coordinatedConfigurationOf(uint64_t revision, configuration const& value);

} // namespace bilberryyard
