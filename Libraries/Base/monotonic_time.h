#pragma once

#include <chrono>

namespace bilberryyard {

using duration = std::chrono::nanoseconds;

/// A point on the monotonic clock. Decisions take it as an argument and never read a clock themselves.
using monotonic_time = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// A point of civil time, for the audit trail and logs only.
using wall_time = std::chrono::time_point<std::chrono::system_clock, duration>;

} // namespace bilberryyard
