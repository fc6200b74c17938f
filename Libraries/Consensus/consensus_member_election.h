#pragma once

// Terms and elections of consensus_member.

#include <Base/error_kind.h>
#include <Consensus/consensus_member.h>

namespace bilberryyard {

template <typename Policy>
void consensus_member<Policy>::setTerm(term_number term, member_id votedFor)
{
    m_vote = { term, votedFor };
    m_persist.recordVote(m_vote);
}

template <typename Policy>
void consensus_member<Policy>::becomeFollower(member_id leader)
{
    if (m_role == consensus_role::Leader)
        stepDown("another leader was elected");
    m_role = consensus_role::Follower;
    m_leader = leader;
    m_votes.clear();
}

template <typename Policy>
void consensus_member<Policy>::stepDown(std::string_view reason)
{
    recordCurrentData();
    m_role = consensus_role::Follower;
    m_leader = noMember;
    m_transfer.reset();
    m_peers.clear();
    auto const status
        = makeError(error_kind::Unavailable, "the proposal may or may not be committed: " + std::string(reason));
    for (auto const& [index, token] : m_pendingProposals)
        m_actions.emplace_back(proposal_result {
            token, proposal_outcome::Unknown, status, index, m_log.termAt(index).value_or(0), noMember });
    m_pendingProposals.clear();
    scheduleElection();
}

template <typename Policy>
void consensus_member<Policy>::stop(absl::Status const& reason)
{
    if (m_role == consensus_role::Leader)
        stepDown(messageOf(reason));
    m_role = consensus_role::Stopped;
    m_leader = noMember;
    m_failure = reason;
    m_persist.discard();
}

template <typename Policy>
void consensus_member<Policy>::startPreVote()
{
    scheduleElection();
    m_leader = noMember;
    if (!configuration().isVoter(m_identity.member)) {
        m_role = consensus_role::Follower;
        // It may have been removed while it was away, and no leader sends messages to a removed member. Any member that
        // has applied the removal responds to this request with a notice; other responses are ignored.
        requestVotes(vote_phase::PreVote, election_cause::Timeout, m_vote.term + 1);
        return;
    }
    m_role = consensus_role::PreCandidate;
    m_votes = { m_identity.member };
    requestVotes(vote_phase::PreVote, election_cause::Timeout, m_vote.term + 1);
    evaluateElection();
}

template <typename Policy>
void consensus_member<Policy>::startElection(election_cause cause)
{
    ++m_counters.electionsStarted;
    setTerm(m_vote.term + 1, m_identity.member);
    m_ownVoteSequence = m_persist.dependency();
    m_role = consensus_role::Candidate;
    m_leader = noMember;
    m_votes = { m_identity.member };
    scheduleElection();
    requestVotes(vote_phase::Vote, cause, m_vote.term);
    evaluateElection();
}

template <typename Policy>
void consensus_member<Policy>::requestVotes(vote_phase phase, election_cause cause, term_number electionTerm)
{
    for (auto const& member : configuration().members()) {
        if (member.role == member_role::Voter && member.id != m_identity.member)
            sendAfterSync(member.id, vote_request { phase, cause, electionTerm, m_log.lastIndex(), m_log.lastTerm() });
    }
}

template <typename Policy>
void consensus_member<Policy>::evaluateElection()
{
    if (m_role != consensus_role::PreCandidate && m_role != consensus_role::Candidate)
        return;
    auto const granted
        = std::count_if(m_votes.begin(), m_votes.end(), [this](member_id id) { return configuration().isVoter(id); });
    if (static_cast<size_t>(granted) < majority())
        return;
    if (m_role == consensus_role::PreCandidate) {
        startElection(election_cause::Timeout);
        return;
    }
    // The member's own vote counts, like any other, only once it is durable.
    if (!Policy::holdsMessagesUntilSynced || m_persist.completed() >= m_ownVoteSequence)
        becomeLeader();
}

template <typename Policy>
void consensus_member<Policy>::becomeLeader()
{
    ++m_counters.electionsWon;
    m_role = consensus_role::Leader;
    m_leader = m_identity.member;
    m_votes.clear();
    m_peers.clear();
    m_transfer.reset();
    m_becameLeaderAt = m_now;
    m_heartbeatDue = m_now;
    refreshPeers();
    m_barrierIndex = appendAsLeader(entry_kind::Barrier, {});
}

template <typename Policy>
void consensus_member<Policy>::scheduleElection()
{
    m_electionDeadline = m_now + randomElectionTimeout();
}

template <typename Policy>
bool consensus_member<Policy>::mustHonourLease() const
{
    if (!Policy::protectsLease)
        return false;
    return m_role == consensus_role::Leader || m_now < m_lastLeaderContact + m_settings.electionTimeoutMinimum;
}

template <typename Policy>
bool consensus_member<Policy>::isUpToDate(log_index lastIndex, term_number lastTerm) const
{
    return std::pair(lastTerm, lastIndex) >= std::pair(m_log.lastTerm(), m_log.lastIndex());
}

// A learner grants votes too. The candidate counts only the voters of its own configuration, and a learner that has not
// received the entry of its promotion yet may be needed for the majority.
template <typename Policy>
void consensus_member<Policy>::handle(member_id sender, term_number, vote_request const& request)
{
    auto const refuse = request.cause == election_cause::Timeout && mustHonourLease();
    if (request.phase == vote_phase::PreVote) {
        auto const granted
            = !refuse && request.electionTerm > m_vote.term && isUpToDate(request.lastIndex, request.lastTerm);
        sendAfterSync(sender,
            vote_response {
                request.phase, request.electionTerm, granted ? vote_decision::Granted : vote_decision::Refused });
        return;
    }
    // A member that must honour the lease does not adopt the term either, because that would make the current leader
    // step down (Ongaro 2014, section 4.2.3).
    if (refuse)
        return;
    if (request.electionTerm > m_vote.term) {
        setTerm(request.electionTerm, noMember);
        becomeFollower(noMember);
    }
    auto const mayVote
        = request.electionTerm == m_vote.term && (m_vote.votedFor == noMember || m_vote.votedFor == sender);
    auto const granted = mayVote && isUpToDate(request.lastIndex, request.lastTerm);
    if (granted) {
        if (m_vote.votedFor == noMember)
            setTerm(m_vote.term, sender);
        m_role = consensus_role::Follower;
        scheduleElection();
    }
    sendAfterSync(sender,
        vote_response {
            request.phase, request.electionTerm, granted ? vote_decision::Granted : vote_decision::Refused });
}

template <typename Policy>
void consensus_member<Policy>::handle(member_id sender, term_number term, vote_response const& response)
{
    if (term > m_vote.term) {
        setTerm(term, noMember);
        becomeFollower(noMember);
        return;
    }
    auto const expected = response.phase == vote_phase::PreVote
        ? m_role == consensus_role::PreCandidate && response.electionTerm == m_vote.term + 1
        : m_role == consensus_role::Candidate && response.electionTerm == m_vote.term;
    if (!expected || response.decision != vote_decision::Granted)
        return;
    m_votes.insert(sender);
    evaluateElection();
}

template <typename Policy>
void consensus_member<Policy>::handle(member_id sender, term_number term, timeout_now const&)
{
    if (term != m_vote.term || m_role != consensus_role::Follower || m_leader != sender)
        return;
    if (configuration().isVoter(m_identity.member))
        startElection(election_cause::Transfer);
}

template <typename Policy>
void consensus_member<Policy>::handle(member_id, term_number, removal_notice const&)
{
    stop(makeError(error_kind::FailedPrecondition,
        "this member was removed from the cluster; it can rejoin only under a new identifier"));
    m_actions.emplace_back(member_removed {});
}

} // namespace bilberryyard
