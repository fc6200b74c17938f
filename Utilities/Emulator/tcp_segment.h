#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace bilberryyard {

/// The part of a TCP segment that the emulated endpoints use.
struct tcp_segment {
    uint32_t sequence = 0;
    uint32_t acknowledgement = 0;
    uint8_t flags = 0;
    std::string payload;
    auto operator<=>(tcp_segment const&) const = default;
};

} // namespace bilberryyard
