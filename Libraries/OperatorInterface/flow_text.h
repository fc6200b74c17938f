#pragma once

#include <Packet/flow_key.h>
#include <absl/status/statusor.h>
#include <string_view>

namespace bilberryyard {

/// Parses a flow in the format of flow_key::toText().
/// @param text "tcp 192.0.2.1:4000 -> 198.51.100.1:80" or "udp [2001:db8::1]:4000 -> [2001:db8::2]:80".
/// @return The flow; InvalidArgument for any other format or addresses of different families.
absl::StatusOr<flow_key> parseFlow(std::string_view text);

} // namespace bilberryyard
