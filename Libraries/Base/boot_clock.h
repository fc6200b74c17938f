#pragma once

#include <Base/monotonic_time.h>

namespace bilberryyard {

/// Reads CLOCK_BOOTTIME, which continues while the machine is suspended. On a clock that stops during suspension, a
/// lease would outlast the guarantee of the other members.
/// @return Time since the machine was booted.
monotonic_time bootTime();

} // namespace bilberryyard
