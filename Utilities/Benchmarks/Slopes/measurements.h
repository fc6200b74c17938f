#pragma once

#include <absl/status/status.h>

namespace bilberryyard {

/// Each function measures one part of the system and prints its tables.
/// @return The error if the measured code rejects its input.
absl::Status measureRouting();
absl::Status measureForwarding();
absl::Status measureCoordination();
absl::Status measureControl();
absl::Status measureDirectory();

} // namespace bilberryyard
