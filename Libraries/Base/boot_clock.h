#pragma once

#include <Base/monotonic_time.h>

namespace bilberryyard {

/// Reads CLOCK_BOOTTIME, which continues while the machine is suspended. With a clock that stops during suspension, a
/// leader would still rely on its lease when the other members may already have elected a new leader.
/// @return Time since the machine was booted.
monotonic_time bootTime();

} // namespace bilberryyard
