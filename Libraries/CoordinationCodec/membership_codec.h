#pragma once

#include <Coordination/coordination_message.h>
#include <Messages/coordination.pb.h>
#include <absl/status/statusor.h>

namespace bilberryyard {

/// Conversion of heartbeats and server records to and from their messages. Used inside this package only,
/// because it exposes protobuf types.

messages::Heartbeat encodeHeartbeat(heartbeat_message const& value);
absl::StatusOr<coordination_message::body_type> decodeHeartbeat(messages::Heartbeat const& message, routed_peer sender);

messages::Records encodeRecords(records_message const& value);
absl::StatusOr<coordination_message::body_type> decodeRecords(messages::Records const& message);

messages::EvidenceList encodeEvidence(handshake_statistics_message const& value);
coordination_message::body_type decodeEvidence(messages::EvidenceList const& message);

} // namespace bilberryyard
