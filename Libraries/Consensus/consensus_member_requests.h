#pragma once

// Construction, requests, time and output of consensus_member.

#include <Consensus/consensus_member.h>

#include <Base/error_kind.h>
#include <Base/hashing.h>

namespace bilberryyard {

template <typename Policy>
consensus_member<Policy>::consensus_member(member_identity identity, consensus_settings settings,
    restored_state const& restored, uint64_t seed, monotonic_time now)
    : m_identity(identity)
    , m_settings(settings)
    , m_seed(seed)
    , m_now(now)
    , m_vote(restored.vote)
    , m_log(restored.snapshot->index, restored.snapshot->term)
    , m_snapshot(restored.snapshot)
    , m_configurations(restored.snapshot->index, restored.snapshot->configuration)
    , m_commitIndex(restored.snapshot->index)
    , m_appliedIndex(restored.snapshot->index)
    , m_persist(
          restored.entries.empty() ? m_snapshot->index : std::max(m_snapshot->index, restored.entries.back().index))
    , m_lastLeaderContact(now)
{
    if (m_snapshot->index > 0)
        m_actions.emplace_back(install_snapshot { m_snapshot });
    scheduleElection();
}

template <typename Policy>
absl::StatusOr<consensus_member<Policy>> consensus_member<Policy>::create(
    member_identity identity, consensus_settings settings, restored_state restored, uint64_t seed, monotonic_time now)
{
    if (auto const status = settings.validate(); !status.ok())
        return status;
    if (identity.cluster == 0 || identity.member == noMember)
        return makeError(error_kind::InvalidArgument, "cluster and member identifiers must not be 0");
    if (!restored.snapshot)
        return makeError(error_kind::InvalidArgument, "the restored state contains no snapshot");
    consensus_member member(identity, settings, restored, seed, now);
    if (auto const status = member.restoreEntries(restored.entries); !status.ok())
        return status;
    return member;
}

template <typename Policy>
absl::Status consensus_member<Policy>::restoreEntries(std::vector<log_entry> const& entries)
{
    for (auto const& entry : entries) {
        if (entry.index <= m_snapshot->index)
            continue;
        auto const name = "entry " + std::to_string(entry.index);
        if (entry.index != m_log.lastIndex() + 1)
            return makeError(
                error_kind::DataLoss, name + " does not directly follow entry " + std::to_string(m_log.lastIndex()));
        if (entry.term < m_log.lastTerm() || entry.term > m_vote.term)
            return makeError(error_kind::DataLoss,
                name + " has term " + std::to_string(entry.term)
                    + ", which is lower than that of the previous entry or higher than the stored term");
        if (entry.kind == entry_kind::Configuration) {
            auto configuration = cluster_configuration::decode(entry.payload);
            if (!configuration.ok())
                return configuration.status();
            m_configurations.append(entry.index, *std::move(configuration));
        }
        m_log.append(entry);
    }
    return absl::OkStatus();
}

template <typename Policy>
void consensus_member<Policy>::receive(consensus_message const& message, monotonic_time now)
{
    advanceTime(now);
    if (m_role == consensus_role::Stopped)
        return;
    if (message.cluster != m_identity.cluster || message.receiver != m_identity.member || message.sender == noMember
        || message.sender == m_identity.member) {
        ++m_counters.messagesRefused;
        return;
    }
    // Checks the committed configuration, because an uncommitted removal may still be rolled back.
    auto const isNotice = std::holds_alternative<removal_notice>(message.body);
    if (!isNotice && m_configurations.at(m_commitIndex).isRemoved(message.sender)) {
        ++m_counters.messagesRefused;
        sendNow(message.sender, removal_notice {});
        return;
    }
    std::visit([&](auto const& body) { handle(message.sender, message.term, body); }, message.body);
}

template <typename Policy>
absl::Status consensus_member<Policy>::notLeaderError() const
{
    if (!m_failure.ok())
        return makeError(error_kind::Unavailable, "this member has stopped: " + messageOf(m_failure));
    if (m_leader == noMember)
        return makeError(error_kind::Unavailable, "no leader is known");
    return makeError(error_kind::NotLeader, "the leader is member " + std::to_string(m_leader.value));
}

template <typename Policy>
absl::Status consensus_member<Policy>::checkProposal(std::string_view payload) const
{
    if (m_role != consensus_role::Leader)
        return notLeaderError();
    if (m_transfer)
        return makeError(error_kind::Unavailable, "leadership is being transferred");
    if (payload.size() > m_settings.maximumPayloadBytes)
        return makeError(error_kind::InvalidArgument,
            "payload exceeds " + std::to_string(m_settings.maximumPayloadBytes) + " bytes");
    if (m_pendingProposals.size() >= m_settings.maximumPendingProposals)
        return makeError(error_kind::ResourceExhausted, "too many proposals are pending");
    return absl::OkStatus();
}

template <typename Policy>
void consensus_member<Policy>::reject(uint64_t token, absl::Status status)
{
    m_actions.emplace_back(
        proposal_result { token, proposal_outcome::Rejected, std::move(status), 0, m_vote.term, m_leader });
}

template <typename Policy>
void consensus_member<Policy>::propose(uint64_t token, std::string payload, monotonic_time now)
{
    advanceTime(now);
    if (auto status = checkProposal(payload); !status.ok()) {
        reject(token, std::move(status));
        return;
    }
    m_pendingProposals.emplace(appendAsLeader(entry_kind::Application, std::move(payload)), token);
}

template <typename Policy>
void consensus_member<Policy>::changeMembership(uint64_t token, membership_change const& change, monotonic_time now)
{
    advanceTime(now);
    auto status = checkProposal({});
    if (status.ok())
        status = membershipChangeAllowed();
    if (!status.ok()) {
        reject(token, std::move(status));
        return;
    }
    auto const changed = changedConfiguration(change);
    if (!changed.ok()) {
        reject(token, changed.status());
        return;
    }
    m_pendingProposals.emplace(appendAsLeader(entry_kind::Configuration, changed->encode()), token);
}

template <typename Policy>
void consensus_member<Policy>::read(uint64_t token, monotonic_time now)
{
    advanceTime(now);
    read_result result { token, absl::OkStatus(), m_appliedIndex, dataAge(m_now), m_leader };
    if (m_role != consensus_role::Leader)
        result.status = notLeaderError();
    else if (!hasCommittedInTerm())
        result.status = makeError(error_kind::Unavailable, "the leader has not committed an entry of its own term yet");
    else if (!leaseIsValid())
        result.status = makeError(error_kind::Unavailable, "the leader's lease has expired");
    m_actions.emplace_back(std::move(result));
}

template <typename Policy>
absl::Status consensus_member<Policy>::transferLeadership(monotonic_time now)
{
    advanceTime(now);
    if (m_role != consensus_role::Leader)
        return notLeaderError();
    auto const target = bestSuccessor();
    if (target == noMember)
        return makeError(error_kind::FailedPrecondition, "there is no other voter to transfer leadership to");
    m_transfer = leadership_transfer { target, m_now + m_settings.electionTimeoutMinimum };
    return absl::OkStatus();
}

template <typename Policy>
void consensus_member<Policy>::persistCompleted(uint64_t sequence, monotonic_time now)
{
    if (!m_persist.complete(sequence))
        return;
    advanceTime(now);
    evaluateElection();
}

template <typename Policy>
void consensus_member<Policy>::persistFailed(absl::Status const& error, monotonic_time now)
{
    advanceTime(now);
    stop(error);
}

template <typename Policy>
absl::Status consensus_member<Policy>::snapshotTaken(log_index index, std::string data, monotonic_time now)
{
    advanceTime(now);
    if (index > m_appliedIndex)
        return makeError(error_kind::InvalidArgument, "entry " + std::to_string(index) + " has not been applied");
    m_snapshotRequested = false;
    if (index <= m_snapshot->index || m_persist.hasPendingSnapshot() || m_role == consensus_role::Stopped)
        return absl::OkStatus();
    m_snapshot = std::make_shared<log_snapshot const>(
        log_snapshot { index, m_log.termAt(index).value(), m_configurations.at(index), std::move(data) });
    m_configurations.rebase(index, m_snapshot->configuration);
    m_persist.saveSnapshot(m_snapshot, log_continuation::Keep);
    if (index > m_settings.trailingEntries)
        m_log.compactTo(index - m_settings.trailingEntries);
    return absl::OkStatus();
}

template <typename Policy>
void consensus_member<Policy>::tick(monotonic_time now)
{
    advanceTime(now);
}

template <typename Policy>
monotonic_time consensus_member<Policy>::nextDeadline() const
{
    if (m_role == consensus_role::Stopped)
        return monotonic_time::max();
    if (m_role != consensus_role::Leader)
        return m_electionDeadline;
    auto deadline = m_heartbeatDue;
    if (Policy::checksLease && configuration().voterCount() > 1)
        deadline
            = std::min(deadline, majorityContactTime(contact_kind::WithGracePeriod) + m_settings.lease + duration(1));
    return m_transfer ? std::min(deadline, m_transfer->deadline) : deadline;
}

template <typename Policy>
void consensus_member<Policy>::advanceTime(monotonic_time now)
{
    m_now = std::max(m_now, now);
    if (m_role == consensus_role::Stopped)
        return;
    if (m_role != consensus_role::Leader) {
        if (m_now >= m_electionDeadline)
            startPreVote();
        return;
    }
    if (Policy::checksLease && m_now - majorityContactTime(contact_kind::WithGracePeriod) > m_settings.lease) {
        ++m_counters.leaseLosses;
        stepDown("the leader lost contact with the majority of voters");
    }
}

template <typename Policy>
std::vector<consensus_action> consensus_member<Policy>::drainActions(monotonic_time now)
{
    advanceTime(now);
    if (m_role == consensus_role::Leader)
        advanceCommit();
    if (m_role == consensus_role::Leader) {
        promoteLearners();
        continueTransfer();
    }
    if (m_role == consensus_role::Leader)
        replicate();
    if (auto request = m_persist.nextRequest(m_log.lastIndex()))
        m_actions.emplace_back(std::move(*request));
    for (auto& message : m_persist.drainReleased())
        m_actions.emplace_back(send_message { std::move(message) });
    return std::exchange(m_actions, {});
}

template <typename Policy>
monotonic_time consensus_member<Policy>::majorityContactTime(contact_kind kind) const
{
    std::vector<monotonic_time> contacts;
    for (auto const& member : configuration().members()) {
        if (member.role != member_role::Voter)
            continue;
        if (member.id == m_identity.member) {
            contacts.push_back(m_now);
            continue;
        }
        auto const& peer = m_peers.at(member.id);
        contacts.push_back(kind == contact_kind::WithGracePeriod
                ? peer.lastContact()
                : peer.acknowledgedSentAt.value_or(monotonic_time::min()));
    }
    std::sort(contacts.begin(), contacts.end(), std::greater<>());
    return contacts[majority() - 1];
}

template <typename Policy>
bool consensus_member<Policy>::leaseIsValid() const
{
    if (!Policy::checksLease)
        return true;
    auto const contact = majorityContactTime(contact_kind::Acknowledged);
    return contact != monotonic_time::min() && m_now - contact <= m_settings.lease;
}

template <typename Policy>
void consensus_member<Policy>::recordCurrentData()
{
    if (m_role != consensus_role::Leader || !hasCommittedInTerm())
        return;
    auto const contact = majorityContactTime(contact_kind::Acknowledged);
    if (contact != monotonic_time::min())
        m_dataCurrentAt = std::max(m_dataCurrentAt.value_or(contact), contact);
}

template <typename Policy>
std::optional<duration> consensus_member<Policy>::dataAge(monotonic_time now) const
{
    auto current = m_dataCurrentAt;
    if (m_role == consensus_role::Leader && hasCommittedInTerm()) {
        auto const contact = majorityContactTime(contact_kind::Acknowledged);
        if (contact != monotonic_time::min())
            current = std::max(current.value_or(contact), contact);
    }
    if (!current)
        return std::nullopt;
    return std::max(now - *current, duration::zero());
}

template <typename Policy>
std::optional<monotonic_time> consensus_member<Policy>::lastContact(member_id id) const
{
    auto const peer = m_peers.find(id);
    if (m_role != consensus_role::Leader || peer == m_peers.end())
        return std::nullopt;
    return peer->second.lastContact();
}

template <typename Policy>
duration consensus_member<Policy>::randomElectionTimeout()
{
    auto const range = m_settings.electionTimeoutMaximum - m_settings.electionTimeoutMinimum;
    auto const randomOffset = hashPair(m_seed, ++m_drawCount) % static_cast<uint64_t>(range.count());
    return m_settings.electionTimeoutMinimum + duration(static_cast<int64_t>(randomOffset));
}

template <typename Policy>
consensus_message consensus_member<Policy>::makeMessage(
    member_id receiver, decltype(consensus_message::body) body) const
{
    return { m_identity.cluster, m_identity.member, receiver, m_vote.term, std::move(body) };
}

template <typename Policy>
void consensus_member<Policy>::sendNow(member_id receiver, decltype(consensus_message::body) body)
{
    m_actions.emplace_back(send_message { makeMessage(receiver, std::move(body)) });
}

template <typename Policy>
void consensus_member<Policy>::sendAfterSync(member_id receiver, decltype(consensus_message::body) body)
{
    if (Policy::holdsMessagesUntilSynced)
        m_persist.holdUntilDurable(makeMessage(receiver, std::move(body)));
    else
        sendNow(receiver, std::move(body));
}

} // namespace bilberryyard
