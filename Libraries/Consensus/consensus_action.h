#pragma once

#include <Base/monotonic_time.h>
#include <Consensus/consensus_message.h>
#include <Consensus/log_snapshot.h>
#include <Consensus/vote_record.h>
#include <absl/status/status.h>
#include <memory>
#include <optional>

namespace bilberryyard {

/// Send the message. The transport may lose, duplicate or reorder it.
struct send_message {
    consensus_message message;
};

/// How the stored log continues when a persist_request contains a snapshot.
enum class log_continuation : uint8_t {
    /// The snapshot covers a prefix of the log; the entries after it are kept.
    Keep,
    /// All log entries are discarded; the next entry follows the snapshot.
    Restart,
};

/// Write and sync the changes in the order of the fields, then call persistCompleted(sequence) or persistFailed().
/// At most one request is outstanding.
struct persist_request {
    uint64_t sequence = 0;
    std::optional<vote_record> vote;
    std::shared_ptr<log_snapshot const> snapshot;
    log_continuation continuation = log_continuation::Keep;
    /// Stored entries from this index on are removed before `entries` are appended.
    std::optional<log_index> truncateFrom;
    std::vector<log_entry> entries;
};

/// Apply committed entries to the state machine in order. Entries of kind Configuration and Barrier are included,
/// so that the indices have no gaps.
struct apply_entries {
    std::vector<log_entry> entries;
};

/// Replace the state of the state machine with that of the snapshot.
struct install_snapshot {
    std::shared_ptr<log_snapshot const> snapshot;
};

/// Call snapshotTaken() with the state of the state machine after the last applied entry.
struct take_snapshot {
    /// Index of the last applied entry.
    log_index index = 0;
};

enum class proposal_outcome : uint8_t {
    /// Committed and applied at `proposal_result::index`, and at no other index.
    Accepted,
    /// Not appended to the log; it will never be applied.
    Rejected,
    /// Appended, but this member lost leadership before the entry was committed; it may still be committed. Retry
    /// with the same request identifier.
    Unknown,
};

struct proposal_result {
    uint64_t token = 0;
    proposal_outcome outcome = proposal_outcome::Rejected;
    absl::Status status;
    log_index index = 0;
    term_number term = 0;
    /// The current leader, for a redirect; noMember if unknown.
    member_id leader;
};

struct read_result {
    uint64_t token = 0;
    /// Ok if the applied state includes every entry committed before the read.
    absl::Status status;
    /// Index of the last entry that the applied state includes.
    log_index index = 0;
    /// Time since the data was last known to be current; nullopt if it has not been since the member started.
    std::optional<duration> age;
    member_id leader;
};

/// This member was removed by a committed configuration and has stopped.
struct member_removed { };

using consensus_action = std::variant<send_message, persist_request, apply_entries, install_snapshot, take_snapshot,
    proposal_result, read_result, member_removed>;

} // namespace bilberryyard
