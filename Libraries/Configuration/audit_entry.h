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

/// A change of the configuration that was committed to the log, accepted or refused. Resent commands whose result was
/// found in the table of request ids have no entry.
struct audit_entry {
    /// Position in the audit trail, starting at 1, without gaps.
    uint64_t sequence = 0;
    std::string requestId;
    std::string author;
    std::string reason;
    wall_time time;
    uint64_t baseRevision = 0;
    command_result result;
    auto operator<=>(audit_entry const&) const = default;
};

/// Selects a range of audit entries.
struct audit_query {
    /// First requested sequence number; not set to get the latest entries.
    std::optional<uint64_t> first;
    /// Last requested sequence number.
    uint64_t last = std::numeric_limits<uint64_t>::max();
    /// Maximum number of entries.
    uint64_t limit = 100;
    auto operator<=>(audit_query const&) const = default;
};

/// A range of the audit trail.
struct audit_page {
    /// Sequence number of the oldest entry that is still stored.
    uint64_t firstKept = 1;
    /// Sequence number that the next entry will get.
    uint64_t next = 1;
    /// Entries in ascending order.
    std::vector<audit_entry> entries;
    auto operator<=>(audit_page const&) const = default;
};

} // namespace bilberryyard
