#pragma once

#include <Base/identifiers.h>
#include <compare>
#include <cstdint>

namespace bilberryyard {

/// Identifies a member of the replicated log. Identifiers are never reused: a member that loses its disk returns under
/// a new one (docs/design.md, section 4).
using member_id = identifier<struct member_tag>;
using term_number = uint64_t;
/// Position in the log; the first entry has index 1.
using log_index = uint64_t;

/// No member, such as an unknown leader.
inline constexpr member_id noMember { 0 };

/// The identity of a member, stored in its data folder.
struct member_identity {
    /// Identifies the cluster, so that messages sent to a misconfigured address never mix two clusters.
    uint64_t cluster = 0;
    member_id member;
    auto operator<=>(member_identity const&) const = default;
};

} // namespace bilberryyard
