#pragma once

#include <Base/monotonic_time.h>
#include <Consensus/consensus_message.h>
#include <Consensus/log_snapshot.h>
#include <Consensus/vote_record.h>
#include <absl/status/status.h>
#include <memory>
#include <optional>

namespace bilberryyard {

/// Send a message; it may be lost, duplicated or reordered.
struct send_message {
    consensus_message message;
};

/// Where the log continues after the snapshot of a persist_request.
enum class log_continuation : uint8_t {
    /// The snapshot covers a prefix of the log; the rest stays.
    Keep,
    /// The log is discarded and continues after the snapshot.
    Restart,
};

/// Write and sync, in the order of the members, then call persistCompleted(sequence) or persistFailed().
/// At most one request is outstanding.
struct persist_request {
    uint64_t sequence = 0;
    std::optional<vote_record> vote;
    std::shared_ptr<log_snapshot const> snapshot;
    log_continuation continuation = log_continuation::Keep;
    /// Entries from this index on are removed.
    std::optional<log_index> truncateFrom;
    std::vector<log_entry> entries;
};

/// Apply committed entries in order. Entries of kind Configuration and Barrier are included, so that
/// the indices have no gaps.
struct apply_entries {
    std::vector<log_entry> entries;
};

/// Replace the state of the state machine.
struct install_snapshot {
    std::shared_ptr<log_snapshot const> snapshot;
};

/// Call snapshotTaken() with the state after the last applied entry.
struct take_snapshot {
    log_index index = 0;
};

enum class proposal_outcome : uint8_t {
    /// Committed at the stated index; it is applied exactly once there.
    Accepted,
    /// Not appended; it is never executed.
    Rejected,
    /// Appended, but this member cannot say whether it will commit. Resend under the same request id.
    Unknown,
};

struct proposal_result {
    uint64_t token = 0;
    proposal_outcome outcome = proposal_outcome::Rejected;
    absl::Status status;
    log_index index = 0;
    term_number term = 0;
    /// The leader as far as known, for a redirect.
    member_id leader;
};

struct read_result {
    uint64_t token = 0;
    /// Ok when the state applied so far is current.
    absl::Status status;
    /// Entries up to here are part of the answer.
    log_index index = 0;
    /// How long ago the data was known to be current; nothing when it has not been since the member's start.
    std::optional<duration> age;
    member_id leader;
};

/// This member was removed by a committed configuration; it takes no further part.
struct member_removed { };

using consensus_action = std::variant<send_message, persist_request, apply_entries, install_snapshot, take_snapshot,
    proposal_result, read_result, member_removed>;

} // namespace bilberryyard
