#pragma once

#include <Base/monotonic_time.h>
#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace bilberryyard {

/// Reads a duration such as "3s" or "500ms".
/// @param text A whole number followed by one of the units ns, us, ms, s, m, h.
/// @return The duration; InvalidArgument for another form or a value above 1000 hours.
absl::StatusOr<duration> parseDuration(std::string_view text);

/// Writes a duration so that parseDuration reads the same value.
/// @param value The duration, not negative.
/// @return The number in the largest unit that is exact, up to seconds: 900s, not 15m.
std::string formatDuration(duration value);

} // namespace bilberryyard
