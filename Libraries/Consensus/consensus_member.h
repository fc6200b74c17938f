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
    /// Asks whether an election could be won.
    PreCandidate,
    Candidate,
    Leader,
    /// Removed by a committed configuration, or stopped by a storage error.
    Stopped,
};

/// Durable state that a member starts from.
struct restored_state {
    vote_record vote;
    /// The founding or latest snapshot; never null.
    std::shared_ptr<log_snapshot const> snapshot;
    /// Entries without gaps; those up to the snapshot's index are ignored.
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
    /// For AddLearner: where the member is reached.
    std::string address;
    auto operator<=>(membership_change const&) const = default;
};

/// Counters of one member since its start.
struct consensus_counters {
    uint64_t electionsStarted = 0;
    uint64_t electionsWon = 0;
    uint64_t leaseLosses = 0;
    /// Messages of another cluster, for another member, from a removed member, or inconsistent in themselves.
    uint64_t messagesRefused = 0;
    uint64_t snapshotsInstalled = 0;
    auto operator<=>(consensus_counters const&) const = default;
};

/// One member of the replicated log: decisions only. Events and the time go in, drainActions() gives what
/// to do. Leader-based replication after Ongaro, "Consensus: Bridging Theory and Practice" (2014), with
/// pre-vote, a leader lease for reads, learners and one membership change at a time.
///
/// Several events may be passed in before one drainActions(); entries proposed in between form a batch.
/// @tparam Policy Safety mechanisms; only tests use another than consensus_policy.
template <typename Policy = consensus_policy>
class consensus_member {
public:
    /// @param identity Who the member is, from its data folder.
    /// @param settings Timing and bounds.
    /// @param restored Durable state.
    /// @param seed Seed of the election timeouts.
    /// @param now The time.
    /// @return The member; InvalidArgument for bad settings or identity, DataLoss for a log with gaps.
    static absl::StatusOr<consensus_member> create(member_identity identity, consensus_settings settings,
        restored_state restored, uint64_t seed, monotonic_time now);

    /// Handles a message. Messages that are not for this member are counted and dropped.
    /// @param message The message.
    /// @param now The time.
    void receive(consensus_message const& message, monotonic_time now);

    /// Proposes an entry; a proposal_result with the token follows.
    /// @param token Chosen by the caller.
    /// @param payload The entry's payload.
    /// @param now The time.
    void propose(uint64_t token, std::string payload, monotonic_time now);

    /// Proposes a membership change; a proposal_result with the token follows.
    /// @param token Chosen by the caller.
    /// @param change The change.
    /// @param now The time.
    void changeMembership(uint64_t token, membership_change const& change, monotonic_time now);

    /// Asks whether the applied state is current; a read_result follows.
    /// @param token Chosen by the caller.
    /// @param now The time.
    void read(uint64_t token, monotonic_time now);

    /// Hands leadership to the most up-to-date voter, for a graceful stop. Proposals are rejected until
    /// it succeeds (role() is no longer Leader) or is given up after the minimum election timeout.
    /// @param now The time.
    /// @return Ok when it has begun; NotLeader, or FailedPrecondition without another voter.
    absl::Status transferLeadership(monotonic_time now);

    /// @param sequence The sequence of the persist_request that was synced.
    /// @param now The time.
    void persistCompleted(uint64_t sequence, monotonic_time now);

    /// Reports a write error. The member acknowledges nothing any more and gives up leadership.
    /// @param error What went wrong.
    /// @param now The time.
    void persistFailed(absl::Status const& error, monotonic_time now);

    /// Supplies the state asked for by take_snapshot.
    /// @param index Index of the last entry that the state includes.
    /// @param data The state.
    /// @param now The time.
    /// @return Ok, also when a newer snapshot exists already; InvalidArgument for an index that is not applied.
    absl::Status snapshotTaken(log_index index, std::string data, monotonic_time now);

    /// Handles due timers. Every event does so as well.
    /// @param now The time.
    void tick(monotonic_time now);

    /// @return When tick() is due next.
    monotonic_time nextDeadline() const;

    /// @param now The time.
    /// @return What to do, in order.
    std::vector<consensus_action> drainActions(monotonic_time now);

    member_identity identity() const { return m_identity; }
    consensus_role role() const { return m_role; }
    term_number term() const { return m_vote.term; }
    /// @return The leader of the current term as far as known, or noMember.
    member_id leader() const { return m_leader; }
    log_index commitIndex() const { return m_commitIndex; }
    log_index lastIndex() const { return m_log.lastIndex(); }
    log_index snapshotIndex() const { return m_snapshot->index; }
    /// @return The configuration in effect, which may not be committed yet.
    cluster_configuration const& configuration() const { return m_configurations.latest(); }
    /// @return The latest configuration that is final.
    cluster_configuration const& committedConfiguration() const { return m_configurations.at(m_commitIndex); }
    consensus_counters const& counters() const { return m_counters; }
    /// @return Why the member has stopped; ok while it runs.
    absl::Status const& failure() const { return m_failure; }

    /// @param id Another member.
    /// @return When a leader last had contact with it; nothing when this is no leader or it is no member.
    std::optional<monotonic_time> lastContact(member_id id) const;

    /// @param now The time.
    /// @return How long ago the applied state was known to be current; nothing when it has not been since the start.
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
    bool isProtected() const;
    bool isUpToDate(log_index lastIndex, term_number lastTerm) const;
    void handle(member_id sender, term_number term, vote_request const& request);
    void handle(member_id sender, term_number term, vote_response const& response);
    void handle(member_id sender, term_number term, timeout_now const& request);
    void handle(member_id sender, term_number term, removal_notice const& notice);

    // Follower's side of replication: consensus_member_follower.h.
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

    // Leader's side of replication: consensus_member_leader.h.
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

    // Requests and shared parts: consensus_member_requests.h.
    absl::Status admission(std::string_view payload) const;
    absl::Status notLeaderError() const;
    void reject(uint64_t token, absl::Status status);
    /// Which signs of life of a peer count.
    enum class contact_kind : uint8_t {
        Acknowledged,
        /// A peer that has not answered yet counts from when the leader began to count on it.
        WithGrace,
    };
    monotonic_time majorityContact(contact_kind kind) const;
    bool leaseIsValid() const;
    void noteCurrentData();
    bool isReady() const { return m_commitIndex >= m_barrierIndex; }
    size_t majority() const { return configuration().voterCount() / 2 + 1; }
    void advanceTime(monotonic_time now);
    void sendNow(member_id receiver, decltype(consensus_message::body) body);
    void sendAfterSync(member_id receiver, decltype(consensus_message::body) body);
    consensus_message envelope(member_id receiver, decltype(consensus_message::body) body) const;
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
    /// Last message from a leader, or the start: a member that restarts may have promised a lease.
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

    /// The snapshot being received.
    log_snapshot m_incoming;
};

extern template class consensus_member<consensus_policy>;

} // namespace bilberryyard
