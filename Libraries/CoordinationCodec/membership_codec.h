#pragma once

#include <Coordination/coordination_message.h>
#include <Messages/coordination.pb.h>
#include <absl/status/statusor.h>

namespace bilberryyard {

/// Converts heartbeats, server records and handshake statistics to and from protobuf messages. For use inside this
/// library only, because it exposes protobuf types.

messages::Heartbeat encodeHeartbeat(heartbeat_message const& value);
absl::StatusOr<coordination_message::body_type> decodeHeartbeat(messages::Heartbeat const& message, routed_peer sender);

messages::Records encodeRecords(records_message const& value);
absl::StatusOr<coordination_message::body_type> decodeRecords(messages::Records const& message);

messages::EvidenceList encodeHandshakeStatistics(handshake_statistics_message const& value);
coordination_message::body_type decodeHandshakeStatistics(messages::EvidenceList const& message);

} // namespace bilberryyard
