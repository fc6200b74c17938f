#pragma once

#include <chrono>

namespace bilberryyard {

using duration = std::chrono::nanoseconds;

/// A point in time of a monotonic clock. Code that makes decisions receives it as an argument and never reads a clock.
using monotonic_time = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// A point in time of the system clock, for the audit trail and logs only.
using wall_time = std::chrono::time_point<std::chrono::system_clock, duration>;

} // namespace bilberryyard
