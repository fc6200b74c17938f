#pragma once

// Replication as a leader of consensus_member.

#include <Base/error_kind.h>
#include <Consensus/consensus_member.h>

namespace bilberryyard {

template <typename Policy>
peer_progress* consensus_member<Policy>::acknowledge(member_id sender, term_number term, int64_t sentAt)
{
    if (term > m_vote.term) {
        setTerm(term, noMember);
        becomeFollower(noMember);
        return nullptr;
    }
    if (term < m_vote.term || m_role != consensus_role::Leader)
        return nullptr;
    auto const peer = m_peers.find(sender);
    monotonic_time const sent { duration(sentAt) };
    if (peer == m_peers.end() || sent > m_now || sent < m_becameLeaderAt) {
        ++m_counters.messagesRefused;
        return nullptr;
    }
    peer->second.acknowledgedSentAt = std::max(peer->second.acknowledgedSentAt.value_or(sent), sent);
    return &peer->second;
}

template <typename Policy>
void consensus_member<Policy>::handle(member_id sender, term_number term, append_response const& response)
{
    auto* const peer = acknowledge(sender, term, response.sentAt);
    if (!peer)
        return;
    if (response.outcome == append_outcome::Mismatch) {
        handleMismatch(*peer, response);
        return;
    }
    if (response.matchIndex > m_log.lastIndex()) {
        ++m_counters.messagesRefused;
        return;
    }
    peer->recordMatch(response.matchIndex);
    if (peer->mode == replication_mode::Probe
        || (peer->mode == replication_mode::Snapshot && peer->matchIndex >= peer->snapshot->index)) {
        peer->probeFrom(peer->matchIndex + 1);
        peer->mode = replication_mode::Pipeline;
    }
}

template <typename Policy>
void consensus_member<Policy>::handleMismatch(peer_progress& peer, append_response const& response)
{
    auto const isStale = response.refusedIndex <= peer.matchIndex || peer.mode == replication_mode::Snapshot
        || (peer.mode == replication_mode::Probe && response.refusedIndex != peer.nextIndex - 1);
    if (isStale)
        return;
    // Skips all entries of one term of the follower's log per round trip.
    auto next = response.conflictIndex;
    if (response.conflictTerm != 0) {
        auto const last = m_log.lastIndexOfTerm(response.conflictTerm);
        if (last && *last < response.refusedIndex)
            next = *last + 1;
    }
    peer.probeFrom(std::clamp(next, peer.matchIndex + 1, response.refusedIndex));
}

template <typename Policy>
void consensus_member<Policy>::handle(member_id sender, term_number term, snapshot_response const& response)
{
    auto* const peer = acknowledge(sender, term, response.sentAt);
    if (!peer || peer->mode != replication_mode::Snapshot || response.snapshotIndex != peer->snapshot->index)
        return;
    if (response.nextOffset > peer->snapshot->data.size()) {
        ++m_counters.messagesRefused;
        return;
    }
    if (response.nextOffset == peer->snapshot->data.size() && (response.nextOffset > 0 || peer->waitsForResponse)) {
        peer->recordMatch(peer->snapshot->index);
        peer->probeFrom(peer->matchIndex + 1);
        return;
    }
    if (response.nextOffset != peer->snapshotOffset) {
        peer->snapshotOffset = response.nextOffset;
        peer->waitsForResponse = false;
    }
}

template <typename Policy>
log_index consensus_member<Policy>::appendAsLeader(entry_kind kind, std::string payload)
{
    auto const index = m_log.lastIndex() + 1;
    appendEntry({ m_vote.term, index, kind, std::move(payload) });
    if (kind == entry_kind::Configuration)
        refreshPeers();
    return index;
}

template <typename Policy>
void consensus_member<Policy>::refreshPeers()
{
    std::erase_if(m_peers, [this](auto const& peer) { return !configuration().contains(peer.first); });
    for (auto const& member : configuration().members()) {
        if (member.id == m_identity.member || m_peers.contains(member.id))
            continue;
        auto& peer = m_peers[member.id];
        peer.trackedSince = m_now;
        peer.probeFrom(m_log.lastIndex() + 1);
    }
}

template <typename Policy>
void consensus_member<Policy>::replicate()
{
    auto const heartbeat = m_now >= m_heartbeatDue;
    if (heartbeat)
        m_heartbeatDue = m_now + m_settings.heartbeatInterval;
    for (auto& [id, peer] : m_peers)
        replicateTo(id, peer, heartbeat);
}

template <typename Policy>
void consensus_member<Policy>::replicateTo(member_id id, peer_progress& peer, bool heartbeat)
{
    if (peer.mode != replication_mode::Snapshot && peer.nextIndex <= m_log.baseIndex()) {
        peer.probeFrom(peer.nextIndex);
        peer.mode = replication_mode::Snapshot;
        peer.snapshot = m_snapshot;
        peer.snapshotOffset = 0;
    }
    if (peer.mode == replication_mode::Pipeline) {
        auto sent = false;
        while (peer.nextIndex <= m_log.lastIndex() && peer.inflight.size() < m_settings.maximumInflightAppends) {
            sendAppend(id, peer, m_settings.maximumAppendBytes);
            sent = true;
        }
        if (heartbeat && !sent)
            sendAppend(id, peer, 0);
        return;
    }
    if (peer.waitsForResponse && !heartbeat)
        return;
    peer.waitsForResponse = true;
    if (peer.mode == replication_mode::Snapshot)
        sendChunk(id, peer);
    else
        sendAppend(id, peer, m_settings.maximumAppendBytes);
}

template <typename Policy>
void consensus_member<Policy>::sendAppend(member_id id, peer_progress& peer, uint64_t maximumBytes)
{
    append_request request;
    request.previousIndex = peer.nextIndex - 1;
    request.previousTerm = m_log.termAt(request.previousIndex).value();
    request.commitIndex = m_commitIndex;
    request.sentAt = m_now.time_since_epoch().count();
    if (maximumBytes > 0)
        request.entries = m_log.slice(peer.nextIndex, maximumBytes);
    if (peer.mode == replication_mode::Pipeline && !request.entries.empty()) {
        peer.nextIndex += request.entries.size();
        peer.inflight.push_back(peer.nextIndex - 1);
    }
    sendNow(id, std::move(request));
}

template <typename Policy>
void consensus_member<Policy>::sendChunk(member_id id, peer_progress& peer)
{
    auto const& snapshot = *peer.snapshot;
    snapshot_chunk chunk;
    chunk.snapshotIndex = snapshot.index;
    chunk.snapshotTerm = snapshot.term;
    chunk.configuration = snapshot.configuration;
    chunk.sentAt = m_now.time_since_epoch().count();
    chunk.totalSize = snapshot.data.size();
    chunk.offset = peer.snapshotOffset;
    chunk.data = snapshot.data.substr(peer.snapshotOffset, m_settings.snapshotChunkBytes);
    sendNow(id, std::move(chunk));
}

template <typename Policy>
void consensus_member<Policy>::advanceCommit()
{
    std::vector<log_index> matches;
    for (auto const& member : configuration().members()) {
        if (member.role != member_role::Voter)
            continue;
        if (member.id != m_identity.member)
            matches.push_back(m_peers.at(member.id).matchIndex);
        else
            matches.push_back(Policy::holdsMessagesUntilSynced ? m_persist.persistedIndex() : m_log.lastIndex());
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    auto const index = matches[majority() - 1];
    if (index <= m_commitIndex)
        return;
    if (Policy::commitsOwnTermOnly && m_log.termAt(index) != std::optional(m_vote.term))
        return;
    m_commitIndex = index;
    applyCommitted();
}

template <typename Policy>
member_id consensus_member<Policy>::bestSuccessor() const
{
    auto best = noMember;
    log_index bestMatch = 0;
    for (auto const& [id, peer] : m_peers) {
        if (!configuration().isVoter(id) || (best != noMember && peer.matchIndex <= bestMatch))
            continue;
        best = id;
        bestMatch = peer.matchIndex;
    }
    return best;
}

template <typename Policy>
void consensus_member<Policy>::nominateSuccessor()
{
    auto const successor = bestSuccessor();
    if (successor != noMember)
        sendNow(successor, timeout_now {});
}

template <typename Policy>
void consensus_member<Policy>::continueTransfer()
{
    if (!m_transfer)
        return;
    if (m_now >= m_transfer->deadline) {
        m_transfer.reset();
        return;
    }
    auto const peer = m_peers.find(m_transfer->target);
    if (peer == m_peers.end() || peer->second.matchIndex < m_log.lastIndex() || m_commitIndex < m_log.lastIndex())
        return;
    sendNow(m_transfer->target, timeout_now {});
    // An election with cause Transfer ignores the lease, so this leader must not rely on it any longer.
    stepDown("leadership was transferred");
}

template <typename Policy>
void consensus_member<Policy>::promoteLearners()
{
    if (m_settings.promotion != learner_promotion::Automatic || m_transfer || !membershipChangeAllowed().ok())
        return;
    for (auto const& member : configuration().members()) {
        if (member.role != member_role::Learner || !hasCaughtUp(member.id))
            continue;
        auto const promoted = configuration().withPromoted(member.id);
        if (promoted.ok())
            appendAsLeader(entry_kind::Configuration, promoted->encode());
        return;
    }
}

template <typename Policy>
bool consensus_member<Policy>::hasCaughtUp(member_id learner) const
{
    auto const peer = m_peers.find(learner);
    return peer != m_peers.end() && peer->second.mode == replication_mode::Pipeline
        && peer->second.matchIndex >= m_barrierIndex
        && peer->second.matchIndex + m_settings.maximumPromotionLag >= m_log.lastIndex()
        && peer->second.lastContact() + m_settings.lease >= m_now;
}

template <typename Policy>
absl::Status consensus_member<Policy>::membershipChangeAllowed() const
{
    if (!Policy::changesOneAtATime)
        return absl::OkStatus();
    // Before an entry of its own term is committed, this leader and an earlier one could both change the same
    // configuration, each in its own way, without overlapping majorities.
    if (!hasCommittedInTerm())
        return makeError(error_kind::Unavailable, "the leader has not committed an entry of its own term yet");
    if (m_configurations.latestIndex() > m_commitIndex)
        return makeError(error_kind::FailedPrecondition, "another membership change is in progress");
    return absl::OkStatus();
}

template <typename Policy>
absl::StatusOr<cluster_configuration> consensus_member<Policy>::changedConfiguration(
    membership_change const& change) const
{
    switch (change.kind) {
    case membership_change_kind::AddLearner:
        for (auto const& member : configuration().members()) {
            if (!change.address.empty() && member.address == change.address) {
                return makeError(error_kind::FailedPrecondition,
                    "member " + std::to_string(member.id.value) + " already has this address; remove it first");
            }
        }
        return configuration().withLearner(change.member, change.address);
    case membership_change_kind::Promote:
        if (configuration().contains(change.member) && !configuration().isVoter(change.member)
            && !hasCaughtUp(change.member))
            return makeError(error_kind::FailedPrecondition, "the learner has not caught up with the leader's log");
        return configuration().withPromoted(change.member);
    case membership_change_kind::Remove:
        return configuration().without(change.member);
    }
    return makeError(error_kind::InvalidArgument, "unknown kind of membership change");
}

} // namespace bilberryyard
