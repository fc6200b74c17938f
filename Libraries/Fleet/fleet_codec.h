#pragma once

#include <Fleet/fleet_message.h>
#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace bilberryyard {

/// Encodes a message between daemons as a protobuf FleetMessage.
std::string encodeFleetMessage(fleet_message const& message);

/// Decodes a message that encodeFleetMessage() has encoded. Records of servers that findDefect() refuses are left out,
/// so that they do not keep the receiver from the others.
/// @return The message, or InvalidArgument with a description of the error.
absl::StatusOr<fleet_message> decodeFleetMessage(std::string_view bytes);

} // namespace bilberryyard
