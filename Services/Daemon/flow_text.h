#pragma once

#include "daemon_status.h"
#include <Configuration/document.h>
#include <Packet/flow_key.h>
#include <Routing/flow_explanation.h>
#include <absl/status/statusor.h>
#include <string_view>

namespace bilberryyard {

/// Reads a flow as flow_key::toText() writes it.
/// @param text "tcp 192.0.2.1:4000 -> 198.51.100.1:80"; the arrow may be left out.
/// @return The flow, or InvalidArgument.
absl::StatusOr<flow_key> parseFlow(std::string_view text);

/// Describes where a flow goes and why.
/// @param key The flow.
/// @param explanation The router's explanation.
/// @param status Gives the endpoint of the server.
/// @return A map for people and programs.
document describe(flow_key const& key, flow_explanation const& explanation, balancer_status const& status);

} // namespace bilberryyard
