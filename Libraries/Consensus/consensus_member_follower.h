#pragma once

// Replication as a follower of consensus_member, and the log changes that leaders and followers share.

#include <Base/error_kind.h>
#include <Consensus/consensus_member.h>

namespace bilberryyard {

template <typename Policy>
bool consensus_member<Policy>::acceptLeader(member_id sender, term_number term)
{
    if (term < m_vote.term)
        return false;
    if (term > m_vote.term)
        setTerm(term, noMember);
    else if (m_role == consensus_role::Leader)
        return false;
    becomeFollower(sender);
    m_lastLeaderContact = m_now;
    scheduleElection();
    return true;
}

template <typename Policy>
bool consensus_member<Policy>::isConsistent(append_request const& request) const
{
    auto index = request.previousIndex;
    auto term = request.previousTerm;
    for (auto const& entry : request.entries) {
        if (entry.index != ++index || entry.term < term || entry.term > m_vote.term)
            return false;
        term = entry.term;
        if (entry.kind == entry_kind::Configuration && !cluster_configuration::decode(entry.payload).ok())
            return false;
    }
    return true;
}

template <typename Policy>
void consensus_member<Policy>::handle(member_id sender, term_number term, append_request const& request)
{
    if (!acceptLeader(sender, term)) {
        // The higher term of the response makes a deposed leader step down.
        sendAfterSync(sender, append_response { append_outcome::Mismatch, request.sentAt, 0, 0, 0, 0 });
        return;
    }
    if (!isConsistent(request)) {
        ++m_counters.messagesRefused;
        return;
    }
    append_response response;
    response.sentAt = request.sentAt;
    // Entries up to the base index are part of a snapshot and thus committed, so they match.
    if (request.previousIndex >= m_log.baseIndex()
        && m_log.termAt(request.previousIndex) != std::optional(request.previousTerm)) {
        response.outcome = append_outcome::Mismatch;
        response.refusedIndex = request.previousIndex;
        response.conflictIndex = m_log.lastIndex() + 1;
        if (request.previousIndex > m_log.baseIndex() && request.previousIndex <= m_log.lastIndex()) {
            response.conflictTerm = *m_log.termAt(request.previousIndex);
            response.conflictIndex = m_log.firstIndexOfTermAt(request.previousIndex);
        }
        sendAfterSync(sender, response);
        return;
    }
    if (!appendFrom(request))
        return;
    response.matchIndex = request.previousIndex + request.entries.size();
    m_commitIndex = std::max(m_commitIndex, std::min(request.commitIndex, response.matchIndex));
    applyCommitted();
    if (m_commitIndex >= request.commitIndex)
        m_dataCurrentAt = m_now;
    sendAfterSync(sender, response);
}

template <typename Policy>
bool consensus_member<Policy>::appendFrom(append_request const& request)
{
    for (auto const& entry : request.entries) {
        if (entry.index <= m_log.baseIndex())
            continue;
        auto const existingTerm = m_log.termAt(entry.index);
        if (existingTerm == std::optional(entry.term))
            continue;
        if (existingTerm) {
            if (entry.index <= m_commitIndex) {
                stop(makeError(error_kind::Internal,
                    "the leader's log conflicts with committed entry " + std::to_string(entry.index)));
                return false;
            }
            truncateLog(entry.index);
        }
        appendEntry(entry);
    }
    return true;
}

template <typename Policy>
void consensus_member<Policy>::appendEntry(log_entry entry)
{
    if (entry.kind == entry_kind::Configuration) {
        // The callers have checked that the payload can be decoded.
        m_configurations.append(entry.index, cluster_configuration::decode(entry.payload).value());
    }
    m_persist.append(entry);
    m_log.append(std::move(entry));
}

template <typename Policy>
void consensus_member<Policy>::truncateLog(log_index from)
{
    m_log.truncateFrom(from);
    m_configurations.truncateFrom(from);
    m_persist.truncateFrom(from);
}

template <typename Policy>
void consensus_member<Policy>::handle(member_id sender, term_number term, snapshot_chunk const& chunk)
{
    snapshot_response response { chunk.snapshotIndex, chunk.sentAt, 0 };
    if (!acceptLeader(sender, term)) {
        sendAfterSync(sender, response);
        return;
    }
    if (chunk.offset + chunk.data.size() > chunk.totalSize) {
        ++m_counters.messagesRefused;
        return;
    }
    if (chunk.snapshotIndex <= m_commitIndex) {
        response.nextOffset = chunk.totalSize;
        sendAfterSync(sender, response);
        return;
    }
    if (m_incomingSnapshot.index != chunk.snapshotIndex || m_incomingSnapshot.term != chunk.snapshotTerm)
        m_incomingSnapshot = { chunk.snapshotIndex, chunk.snapshotTerm, chunk.configuration, {} };
    if (chunk.offset == m_incomingSnapshot.data.size())
        m_incomingSnapshot.data += chunk.data;
    response.nextOffset = m_incomingSnapshot.data.size();
    if (m_incomingSnapshot.data.size() == chunk.totalSize)
        install(std::make_shared<log_snapshot const>(std::exchange(m_incomingSnapshot, {})));
    sendAfterSync(sender, response);
}

template <typename Policy>
void consensus_member<Policy>::install(std::shared_ptr<log_snapshot const> snapshot)
{
    ++m_counters.snapshotsInstalled;
    auto const logMatches = m_log.termAt(snapshot->index) == std::optional(snapshot->term);
    m_persist.saveSnapshot(snapshot, logMatches ? log_continuation::Keep : log_continuation::Restart);
    if (logMatches) {
        m_log.compactTo(snapshot->index);
        m_configurations.rebase(snapshot->index, snapshot->configuration);
    } else {
        m_log.restartAfter(snapshot->index, snapshot->term);
        m_configurations = configuration_history(snapshot->index, snapshot->configuration);
    }
    m_snapshot = snapshot;
    m_snapshotRequested = false;
    m_commitIndex = snapshot->index;
    m_appliedIndex = snapshot->index;
    m_actions.emplace_back(install_snapshot { std::move(snapshot) });
}

template <typename Policy>
void consensus_member<Policy>::applyCommitted()
{
    if (m_appliedIndex >= m_commitIndex)
        return;
    apply_entries action;
    for (auto index = m_appliedIndex + 1; index <= m_commitIndex; ++index)
        action.entries.push_back(m_log.at(index));
    m_appliedIndex = m_commitIndex;
    auto const entries = action.entries;
    m_actions.emplace_back(std::move(action));
    for (auto const& entry : entries) {
        auto const pending = m_pendingProposals.find(entry.index);
        if (pending == m_pendingProposals.end())
            continue;
        m_actions.emplace_back(proposal_result { pending->second, proposal_outcome::Accepted, absl::OkStatus(),
            entry.index, entry.term, m_identity.member });
        m_pendingProposals.erase(pending);
    }
    if (m_appliedIndex - m_snapshot->index >= m_settings.snapshotInterval && !m_snapshotRequested) {
        m_snapshotRequested = true;
        m_actions.emplace_back(take_snapshot { m_appliedIndex });
    }
    applyConfigurations(entries);
}

template <typename Policy>
void consensus_member<Policy>::applyConfigurations(std::vector<log_entry> const& entries)
{
    for (auto const& entry : entries) {
        if (entry.kind != entry_kind::Configuration || !m_configurations.at(entry.index).isRemoved(m_identity.member))
            continue;
        if (m_role == consensus_role::Leader)
            nominateSuccessor();
        stop(makeError(error_kind::FailedPrecondition,
            "this member was removed from the cluster; it can rejoin only under a new identifier"));
        m_actions.emplace_back(member_removed {});
        return;
    }
}

} // namespace bilberryyard
