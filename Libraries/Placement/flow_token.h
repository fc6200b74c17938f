#pragma once

#include <cstdint>
#include <string_view>

namespace bilberryyard {

/// The token value of packets without a token.
inline constexpr uint32_t noToken = 0;

/// Returns the token that identifies a backend server in the packets of its flows. Server and caller echo it in every
/// packet, so any balancer finds the server of an open flow without per-flow state. The token depends on the identifier
/// only, so it is the same on every balancer.
/// @param serverIdentifier Identifies one incarnation of a backend server.
/// @return The token; never noToken.
uint32_t flowToken(std::string_view serverIdentifier);

} // namespace bilberryyard
