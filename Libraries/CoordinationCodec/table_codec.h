#pragma once

#include <Coordination/coordination_message.h>
#include <Messages/coordination.pb.h>
#include <absl/status/statusor.h>

namespace bilberryyard {

/// Converts tables to and from protobuf messages. For use inside this library only, because it exposes protobuf types.

messages::Peer encodePeer(routed_peer peer);
routed_peer decodePeer(messages::Peer const& message);

messages::TableDelta encodeDelta(table_delta const& delta);
absl::StatusOr<table_delta> decodeDelta(messages::TableDelta const& message);

messages::Lineage encodeLineage(table_lineage const& lineage);
table_lineage decodeLineage(messages::Lineage const& message);

messages::TableTransfer encodeTable(replicated_table const& table);
absl::StatusOr<replicated_table> decodeTable(messages::TableTransfer const& message);

} // namespace bilberryyard
