#pragma once

#include <Coordination/coordination_message.h>
#include <Messages/coordination.pb.h>
#include <absl/status/statusor.h>

namespace bilberryyard {

/// Conversion of heartbeats and server records to and from their messages. Used inside this package only,
/// because it exposes protobuf types.

messages::Heartbeat encodeHeartbeat(heartbeat_message const& value);
absl::StatusOr<decltype(coordination_message::body)> decodeHeartbeat(
    messages::Heartbeat const& message, routed_peer sender);

messages::Records encodeRecords(records_message const& value);
absl::StatusOr<decltype(coordination_message::body)> decodeRecords(messages::Records const& message);

} // namespace bilberryyard
