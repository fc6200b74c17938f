#pragma once

#include <Base/identifiers.h>
#include <compare>
#include <cstdint>

namespace bilberryyard {

/// A member of the replicated log. A member that loses its disk returns under a new identifier;
/// identifiers are never reused (docs/design.md section 4).
using member_id = identifier<struct member_tag>;
using term_number = uint64_t;
/// Position in the log; the first entry has index 1.
using log_index = uint64_t;

/// Stands for "no member".
inline constexpr member_id noMember { 0 };

/// What a member's data folder says about who it is.
struct member_identity {
    /// Distinguishes clusters, so that a misconfigured address never joins two of them.
    uint64_t cluster = 0;
    member_id member;
    auto operator<=>(member_identity const&) const = default;
};

} // namespace bilberryyard
