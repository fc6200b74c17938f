#pragma once

#include <Base/monotonic_time.h>
#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace bilberryyard {

/// Parses a duration such as "3s" or "500ms".
/// @param text A non-negative integer followed by one of the units ns, us, ms, s, m, h.
/// @return The duration; InvalidArgument for malformed text or a value above 1000 hours.
absl::StatusOr<duration> parseDuration(std::string_view text);

/// Formats a duration so that parseDuration gives the same value.
/// @param value Must not be negative.
/// @return A whole number in the largest unit that is exact; the largest unit used is seconds: 900s, not 15m.
std::string formatDuration(duration value);

} // namespace bilberryyard
