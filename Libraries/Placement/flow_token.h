#pragma once

#include <cstdint>
#include <string_view>

namespace bilberryyard {

/// The token of packets that carry none.
inline constexpr uint32_t noToken = 0;

/// The token that stands for a backend server in the packets of its flows. The server and the caller repeat it, so
/// that any balancer finds the server of an open flow without any state of the flow. Every balancer computes the same
/// token from the identifier alone.
/// @param serverIdentifier Names one start of a backend server.
/// @return The token; never noToken.
uint32_t flowToken(std::string_view serverIdentifier);

} // namespace bilberryyard
