#pragma once

#include <Base/monotonic_time.h>
#include <Configuration/command_result.h>
#include <compare>
#include <cstdint>
#include <string>

namespace bilberryyard {

/// One attempt to change the configuration that reached the log, accepted or refused. Resends that were
/// answered from the table of request ids have no entry.
struct audit_entry {
    /// Position in the audit trail, from 1, without gaps.
    uint64_t sequence = 0;
    std::string requestId;
    std::string author;
    std::string reason;
    wall_time time;
    uint64_t baseRevision = 0;
    command_result result;
    auto operator<=>(audit_entry const&) const = default;
};

} // namespace bilberryyard
