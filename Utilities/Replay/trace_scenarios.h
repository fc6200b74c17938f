#pragma once

#include "trace_scenario.h"

namespace bilberryyard {

/// @return One trace for each promise and failure of docs/design.md section 1 and one for the balance of load,
///     for both deployments.
std::vector<trace_scenario> makeScenarios();

} // namespace bilberryyard
