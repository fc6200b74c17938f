#pragma once

#include <Fleet/fleet_message.h>
#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace bilberryyard {

/// Encodes a message between daemons with protobuf.
/// @param message The message.
/// @return Its bytes.
std::string encodeFleetMessage(fleet_message const& message);

/// @param bytes Received bytes.
/// @return The message, or InvalidArgument that names what is wrong.
absl::StatusOr<fleet_message> decodeFleetMessage(std::string_view bytes);

} // namespace bilberryyard
