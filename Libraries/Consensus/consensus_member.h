#pragma once

#include <Consensus/configuration_history.h>
#include <Consensus/consensus_action.h>
#include <Consensus/consensus_policy.h>
#include <Consensus/consensus_settings.h>
#include <Consensus/peer_progress.h>
#include <Consensus/persist_queue.h>
#include <Consensus/replicated_log.h>
#include <absl/status/statusor.h>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace bilberryyard {

enum class consensus_role : uint8_t {
    Follower,
    /// Runs a pre-vote: asks the voters whether an election could be won, without a change of term.
    PreCandidate,
    Candidate,
    Leader,
    /// Removed by a committed configuration, or stopped by a storage error.
    Stopped,
};

/// The durable state from which a member is created.
struct restored_state {
    vote_record vote;
    /// The latest snapshot, or the bootstrap snapshot at index 0; never null.
    std::shared_ptr<log_snapshot const> snapshot;
    /// Log entries without gaps; those up to the snapshot's index are ignored.
    std::vector<log_entry> entries;
};

enum class membership_change_kind : uint8_t {
    AddLearner,
    Promote,
    Remove,
};

struct membership_change {
    membership_change_kind kind = membership_change_kind::AddLearner;
    member_id member;
    /// Network address of the member; only for AddLearner.
    std::string address;
    auto operator<=>(membership_change const&) const = default;
};

/// Counters of one member since it was created.
struct consensus_counters {
    uint64_t electionsStarted = 0;
    uint64_t electionsWon = 0;
    /// Number of times this leader stepped down because its lease expired.
    uint64_t leaseLosses = 0;
    /// Messages of another cluster, for another member, from a removed member, or with inconsistent content.
    uint64_t messagesRefused = 0;
    uint64_t snapshotsInstalled = 0;
    auto operator<=>(consensus_counters const&) const = default;
};

/// One member of the replicated log, as a deterministic state machine without I/O. The caller passes in events with
/// the current time and executes the actions that drainActions() returns. Implements Raft after Ongaro, "Consensus:
/// Bridging Theory and Practice" (2014), with pre-vote, a leader lease for reads, learners and one membership change
/// at a time.
///
/// Several events may be passed in before one drainActions(); entries proposed in between form a batch.
/// Every `now` is the local monotonic clock; a time before that of an earlier event counts as the earlier one.
/// @tparam Policy Enabled safety mechanisms; only tests use a policy other than consensus_policy.
template <typename Policy = consensus_policy>
class consensus_member {
public:
    /// @param identity Identity stored in the member's data folder.
    /// @param seed Seed of the random election timeouts.
    /// @return The member; InvalidArgument for invalid settings, an identity of 0 or a missing snapshot, DataLoss if
    /// the log entries have gaps, decreasing terms or an undecodable configuration.
    static absl::StatusOr<consensus_member> create(member_identity identity, consensus_settings settings,
        restored_state restored, uint64_t seed, monotonic_time now);

    /// Handles a message. Messages that are not for this member are counted and dropped.
    void receive(consensus_message const& message, monotonic_time now);

    /// Proposes an entry of kind Application. The outcome follows as a proposal_result.
    /// @param token Chosen by the caller; returned in the proposal_result.
    void propose(uint64_t token, std::string payload, monotonic_time now);

    /// Proposes a membership change. The outcome follows as a proposal_result.
    /// @param token Chosen by the caller; returned in the proposal_result.
    void changeMembership(uint64_t token, membership_change const& change, monotonic_time now);

    /// Checks whether the applied state may be served as current. The outcome follows as a read_result.
    /// @param token Chosen by the caller; returned in the read_result.
    void read(uint64_t token, monotonic_time now);

    /// Starts the transfer of leadership to the most up-to-date voter, for a graceful stop. Proposals are rejected
    /// until the transfer succeeds (role() is no longer Leader) or times out after the minimum election timeout.
    /// @return Ok if the transfer has started; NotLeader or Unavailable if this member is not the leader,
    /// FailedPrecondition if there is no other voter.
    absl::Status transferLeadership(monotonic_time now);

    /// Reports that a persist_request is durable.
    /// @param sequence `persist_request::sequence`; ignored unless that request is outstanding.
    void persistCompleted(uint64_t sequence, monotonic_time now);

    /// Reports a write error. The member steps down if it is the leader, stops, and sends no further
    /// acknowledgements, because it is not known what is durable.
    void persistFailed(absl::Status const& error, monotonic_time now);

    /// Supplies the state requested by take_snapshot.
    /// @param index Index of the last entry that the state includes.
    /// @param data The encoded state of the state machine.
    /// @return Ok, also if the snapshot is ignored because a newer one exists or is being written; InvalidArgument if
    /// the entry at `index` has not been applied.
    absl::Status snapshotTaken(log_index index, std::string data, monotonic_time now);

    /// Handles due timers. Every other event does so as well.
    void tick(monotonic_time now);

    /// @return The time of the next tick(); monotonic_time::max() for a stopped member.
    monotonic_time nextDeadline() const;

    /// @return The pending actions, to be executed in order.
    std::vector<consensus_action> drainActions(monotonic_time now);

    member_identity identity() const { return m_identity; }
    consensus_role role() const { return m_role; }
    term_number term() const { return m_vote.term; }
    /// @return The leader of the current term, or noMember if it is unknown.
    member_id leader() const { return m_leader; }
    log_index commitIndex() const { return m_commitIndex; }
    log_index lastIndex() const { return m_log.lastIndex(); }
    log_index snapshotIndex() const { return m_snapshot->index; }
    /// @return The configuration in effect, which may not be committed yet.
    cluster_configuration const& configuration() const { return m_configurations.latest(); }
    /// @return The latest committed configuration.
    cluster_configuration const& committedConfiguration() const { return m_configurations.at(m_commitIndex); }
    consensus_counters const& counters() const { return m_counters; }
    /// @return The reason why the member has stopped; ok while it runs.
    absl::Status const& failure() const { return m_failure; }

    /// @param id Another member.
    /// @return When this leader was last in contact with it, see peer_progress::lastContact(); nullopt if this member
    /// is not the leader or `id` is not a member.
    std::optional<monotonic_time> lastContact(member_id id) const;

    /// @return Time since the applied state was last known to be current; nullopt if it never was since this member was
    /// created.
    std::optional<duration> dataAge(monotonic_time now) const;

private:
    struct leadership_transfer {
        member_id target;
        monotonic_time deadline;
    };

    consensus_member(member_identity identity, consensus_settings settings, restored_state const& restored,
        uint64_t seed, monotonic_time now);

    absl::Status restoreEntries(std::vector<log_entry> const& entries);

    // Terms and elections: consensus_member_election.h.
    void setTerm(term_number term, member_id votedFor);
    void becomeFollower(member_id leader);
    void becomeLeader();
    void stepDown(std::string_view reason);
    void stop(absl::Status const& reason);
    void startPreVote();
    void startElection(election_cause cause);
    void requestVotes(vote_phase phase, election_cause cause, term_number electionTerm);
    void evaluateElection();
    void scheduleElection();
    bool mustHonourLease() const;
    bool isUpToDate(log_index lastIndex, term_number lastTerm) const;
    void handle(member_id sender, term_number term, vote_request const& request);
    void handle(member_id sender, term_number term, vote_response const& response);
    void handle(member_id sender, term_number term, timeout_now const& request);
    void handle(member_id sender, term_number term, removal_notice const& notice);

    // Replication as a follower: consensus_member_follower.h.
    bool acceptLeader(member_id sender, term_number term);
    bool isConsistent(append_request const& request) const;
    bool appendFrom(append_request const& request);
    void handle(member_id sender, term_number term, append_request const& request);
    void handle(member_id sender, term_number term, snapshot_chunk const& chunk);
    void install(std::shared_ptr<log_snapshot const> snapshot);
    void appendEntry(log_entry entry);
    void truncateLog(log_index from);
    void applyCommitted();
    void applyConfigurations(std::vector<log_entry> const& entries);

    // Replication as a leader: consensus_member_leader.h.
    void handle(member_id sender, term_number term, append_response const& response);
    void handle(member_id sender, term_number term, snapshot_response const& response);
    void handleMismatch(peer_progress& peer, append_response const& response);
    peer_progress* acknowledge(member_id sender, term_number term, int64_t sentAt);
    log_index appendAsLeader(entry_kind kind, std::string payload);
    void refreshPeers();
    void replicate();
    void replicateTo(member_id id, peer_progress& peer, bool heartbeat);
    void sendAppend(member_id id, peer_progress& peer, uint64_t maximumBytes);
    void sendChunk(member_id id, peer_progress& peer);
    void advanceCommit();
    void continueTransfer();
    member_id bestSuccessor() const;
    void nominateSuccessor();
    void promoteLearners();
    absl::Status membershipChangeAllowed() const;
    absl::StatusOr<cluster_configuration> changedConfiguration(membership_change const& change) const;
    bool hasCaughtUp(member_id learner) const;

    // Requests and shared helpers: consensus_member_requests.h.
    absl::Status checkProposal(std::string_view payload) const;
    absl::Status notLeaderError() const;
    void reject(uint64_t token, absl::Status status);
    /// What counts as contact with a peer.
    enum class contact_kind : uint8_t {
        /// Only a request of this term that the peer has acknowledged.
        Acknowledged,
        /// Also the start of tracking (`peer_progress::trackedSince`), so that a new peer has time to respond.
        WithGracePeriod,
    };
    monotonic_time majorityContactTime(contact_kind kind) const;
    bool leaseIsValid() const;
    void recordCurrentData();
    bool hasCommittedInTerm() const { return m_commitIndex >= m_barrierIndex; }
    size_t majority() const { return configuration().voterCount() / 2 + 1; }
    void advanceTime(monotonic_time now);
    void sendNow(member_id receiver, decltype(consensus_message::body) body);
    void sendAfterSync(member_id receiver, decltype(consensus_message::body) body);
    consensus_message makeMessage(member_id receiver, decltype(consensus_message::body) body) const;
    duration randomElectionTimeout();

    member_identity m_identity;
    consensus_settings m_settings;
    uint64_t m_seed;
    uint64_t m_drawCount = 0;
    monotonic_time m_now;

    consensus_role m_role = consensus_role::Follower;
    vote_record m_vote;
    member_id m_leader;
    replicated_log m_log;
    std::shared_ptr<log_snapshot const> m_snapshot;
    configuration_history m_configurations;
    log_index m_commitIndex;
    log_index m_appliedIndex;
    bool m_snapshotRequested = false;
    absl::Status m_failure;

    persist_queue m_persist;
    std::vector<consensus_action> m_actions;
    consensus_counters m_counters;

    monotonic_time m_electionDeadline;
    /// Time of the last message from a leader. Initially the time of creation, because the member may have supported
    /// a lease before it restarted.
    monotonic_time m_lastLeaderContact;
    std::optional<monotonic_time> m_dataCurrentAt;
    std::set<member_id> m_votes;
    uint64_t m_ownVoteSequence = 0;

    std::map<member_id, peer_progress> m_peers;
    monotonic_time m_heartbeatDue;
    monotonic_time m_becameLeaderAt;
    log_index m_barrierIndex = 0;
    std::map<log_index, uint64_t> m_pendingProposals;
    std::optional<leadership_transfer> m_transfer;

    /// The snapshot that is being received in chunks.
    log_snapshot m_incomingSnapshot;
};

extern template class consensus_member<consensus_policy>;

} // namespace bilberryyard
