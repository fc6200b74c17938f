#pragma once

#include <absl/status/status.h>

namespace bilberryyard {

/// Each function prints the tables of one part of the system.
/// @return an error when the measured code refuses the prepared input
absl::Status measureRouting();
absl::Status measureForwarding();
absl::Status measureCoordination();
absl::Status measureControl();

} // namespace bilberryyard
