#pragma once

#include <Consensus/cluster_configuration.h>
#include <Consensus/log_entry.h>
#include <string>
#include <variant>
#include <vector>

namespace bilberryyard {

enum class vote_phase : uint8_t {
    /// Asks whether an election could be won; changes no term.
    PreVote = 1,
    Vote = 2,
};

enum class election_cause : uint8_t {
    Timeout = 1,
    /// The leader requested the election (timeout_now), so its lease does not prevent it.
    Transfer = 2,
};

struct vote_request {
    vote_phase phase = vote_phase::Vote;
    election_cause cause = election_cause::Timeout;
    /// The term of the election; for a pre-vote, the term it would have.
    term_number electionTerm = 0;
    log_index lastIndex = 0;
    term_number lastTerm = 0;
    auto operator<=>(vote_request const&) const = default;
};

enum class vote_decision : uint8_t {
    Refused = 1,
    Granted = 2,
};

struct vote_response {
    vote_phase phase = vote_phase::Vote;
    term_number electionTerm = 0;
    vote_decision decision = vote_decision::Refused;
    auto operator<=>(vote_response const&) const = default;
};

/// Entries that follow the entry at previousIndex. Without entries it is a heartbeat.
struct append_request {
    log_index previousIndex = 0;
    term_number previousTerm = 0;
    log_index commitIndex = 0;
    /// The leader's monotonic clock at the time of sending, in nanoseconds. The response returns it unchanged, and the
    /// leader computes its lease from it.
    int64_t sentAt = 0;
    std::vector<log_entry> entries;
    auto operator<=>(append_request const&) const = default;
};

enum class append_outcome : uint8_t {
    Accepted = 1,
    /// The receiver's log has no entry with previousIndex and previousTerm, or the sender's term is outdated.
    Mismatch = 2,
};

struct append_response {
    append_outcome outcome = append_outcome::Accepted;
    int64_t sentAt = 0;
    /// Accepted: the receiver's log matches the leader's up to this index and is durable.
    log_index matchIndex = 0;
    /// Mismatch: the previousIndex of the refused request.
    log_index refusedIndex = 0;
    /// Mismatch: the term of the receiver's entry at that index, 0 if its log is shorter.
    term_number conflictTerm = 0;
    /// Mismatch: the first index of that term, or one past the receiver's last entry.
    log_index conflictIndex = 0;
    auto operator<=>(append_response const&) const = default;
};

/// A part of a snapshot, at most consensus_settings::snapshotChunkBytes long.
struct snapshot_chunk {
    log_index snapshotIndex = 0;
    term_number snapshotTerm = 0;
    cluster_configuration configuration;
    int64_t sentAt = 0;
    uint64_t totalSize = 0;
    uint64_t offset = 0;
    std::string data;
    auto operator<=>(snapshot_chunk const&) const = default;
};

struct snapshot_response {
    log_index snapshotIndex = 0;
    int64_t sentAt = 0;
    /// Offset in bytes of the next chunk that the receiver needs; the total size once it has the full snapshot.
    uint64_t nextOffset = 0;
    auto operator<=>(snapshot_response const&) const = default;
};

/// Requests that the receiver starts an election at once; the sender has stepped down as leader.
struct timeout_now {
    auto operator<=>(timeout_now const&) const = default;
};

/// Notifies a member that a committed configuration no longer contains it.
struct removal_notice {
    auto operator<=>(removal_notice const&) const = default;
};

/// A message between two members of a cluster.
struct consensus_message {
    uint64_t cluster = 0;
    member_id sender;
    member_id receiver;
    /// The sender's current term.
    term_number term = 0;
    std::variant<vote_request, vote_response, append_request, append_response, snapshot_chunk, snapshot_response,
        timeout_now, removal_notice>
        body;
    auto operator<=>(consensus_message const&) const = default;
};

} // namespace bilberryyard
