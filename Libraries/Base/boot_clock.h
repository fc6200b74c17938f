#pragma once

#include <Base/monotonic_time.h>

namespace bilberryyard {

/// Reads CLOCK_BOOTTIME, which also counts the time that the machine was suspended. A lease measured on a clock
/// that stops during suspension would outlive the promise of the other members.
/// @return The time since the machine started.
monotonic_time bootTime();

} // namespace bilberryyard
