#pragma once

#include <Base/identifiers.h>
#include <compare>
#include <string>

namespace bilberryyard {

/// An availability zone of the configuration.
struct zone_definition {
    std::string name;
    /// 0 until the state machine assigns an identifier; identifiers are never reused.
    zone_id id;
    auto operator<=>(zone_definition const&) const = default;
};

} // namespace bilberryyard
