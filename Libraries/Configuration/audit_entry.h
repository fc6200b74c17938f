#pragma once

#include <Base/monotonic_time.h>
#include <Configuration/command_result.h>
#include <compare>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

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

/// Which audit entries are wanted.
struct audit_query {
    /// First wanted sequence number; nothing for the latest entries.
    std::optional<uint64_t> first;
    /// Last wanted sequence number.
    uint64_t last = std::numeric_limits<uint64_t>::max();
    /// Largest number of entries.
    uint64_t limit = 100;
    auto operator<=>(audit_query const&) const = default;
};

/// A part of the audit trail.
struct audit_page {
    /// Sequence number of the first entry that is still kept.
    uint64_t firstKept = 1;
    /// Sequence number of the next entry that will be made.
    uint64_t next = 1;
    /// Entries in ascending order.
    std::vector<audit_entry> entries;
    auto operator<=>(audit_page const&) const = default;
};

} // namespace bilberryyard
