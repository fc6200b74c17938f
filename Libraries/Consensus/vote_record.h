#pragma once

#include <Consensus/member_identity.h>

namespace bilberryyard {

/// The durable term of a member and the candidate it voted for in that term.
struct vote_record {
    term_number term = 0;
    member_id votedFor;
    auto operator<=>(vote_record const&) const = default;
};

} // namespace bilberryyard
