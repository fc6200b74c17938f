#pragma once

#include "trace_scenario.h"

namespace bilberryyard {

/// @return One scenario for each guarantee and failure case of docs/design.md section 1 (two for F3) and one for the
///     balance of the load, for both deployments.
std::vector<trace_scenario> makeScenarios();

} // namespace bilberryyard
