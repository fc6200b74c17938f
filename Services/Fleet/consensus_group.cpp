#include "consensus_group.h"

#include <Base/error_kind.h>
#include <algorithm>

namespace bilberryyard {

namespace {

    constexpr duration planInterval = std::chrono::milliseconds(150);
    constexpr duration joinRequestInterval = std::chrono::milliseconds(250);
    // Applicants send their request several times in this time.
    constexpr duration applicantExpiry = std::chrono::milliseconds(1'500);
    // The leader contacts a new member at once; if the leader is lost, its successor does after an election.
    constexpr duration firstContactTimeout = std::chrono::seconds(6);

} // namespace

consensus_group::consensus_group(fleet_settings const& settings, sender send, wake_signal const& wake)
    : m_settings(settings)
    , m_send(std::move(send))
    , m_wake(wake)
    , m_bootstrap(settings.bootstrap)
{
}

fleet_host consensus_group::self() const
{
    return { { m_settings.address, m_settings.peerPort }, host_role::Control, m_settings.zone, m_settings.name,
        m_settings.controlEndpoint ? m_settings.controlEndpoint->port : uint16_t { 0 }, {} };
}

void consensus_group::receive(control_message const& message, ip_endpoint const& from, monotonic_time now)
{
    std::visit([&](auto const& body) { handle(from, body, now); }, message.body);
    if (m_member)
        executeActions(now);
}

void consensus_group::handle(ip_endpoint const& from, consensus_message const& message, monotonic_time now)
{
    m_peersOfMembers[message.sender] = from;
    if (m_member)
        m_member->receive(message, now);
}

void consensus_group::handle(ip_endpoint const&, join_identity const& message, monotonic_time now)
{
    if (!m_emptyStorage || message.token != m_joinToken)
        return;
    auto status = m_emptyStorage->initialize(message.identity, {});
    if (status.ok()) {
        auto storage = *std::move(m_emptyStorage);
        m_emptyStorage.reset();
        status = startMember(std::move(storage), now);
    }
    if (status.ok())
        return;
    m_logger.emit(events::storageFailed, messageOf(status));
    closeMember();
    m_reopenAt = now + reopenDelay;
}

void consensus_group::receive(join_request const& request, monotonic_time now)
{
    auto const address = group_address { request.host.peer, request.token }.toText();
    m_applicants[request.host.peer] = { { address, request.host.peer.toText() }, request.host.peer, now };
    m_plannedAt = {};
}

void consensus_group::executeActions(monotonic_time now)
{
    // Executing an action may create further actions.
    for (auto actions = m_member->drainActions(now); !actions.empty(); actions = m_member->drainActions(now)) {
        for (auto const& action : actions)
            std::visit([&](auto const& value) { perform(value, now); }, action);
    }
    if (m_member->role() == m_loggedRole)
        return;
    m_loggedRole = m_member->role();
    m_logger.emit(events::memberRoleChanged,
        "condition=" + std::string(condition()) + " term=" + std::to_string(m_member->term())
            + " commit_index=" + std::to_string(m_member->commitIndex()));
}

void consensus_group::perform(send_message const& action, monotonic_time)
{
    auto const receiver = action.message.receiver;
    if (auto const address = addressOf(receiver))
        return sendControl(address->peer, action.message);
    auto const known = m_peersOfMembers.find(receiver);
    if (known != m_peersOfMembers.end())
        sendControl(known->second, action.message);
}

void consensus_group::perform(persist_request const& action, monotonic_time) { m_storage->submit(action); }

void consensus_group::perform(apply_entries const& action, monotonic_time now)
{
    for (auto const& entry : action.entries) {
        if (entry.kind != entry_kind::Application)
            continue;
        auto const applied = m_state.apply(entry.payload);
        if (!applied.ok()) {
            m_logger.emit(events::storageFailed, messageOf(applied.status()));
            m_member->persistFailed(applied.status(), now);
            return;
        }
        if (*applied == applied_change::EvacuatedZones)
            m_logger.emit(events::evacuationApplied,
                "index=" + std::to_string(entry.index) + " " + toText(m_state.evacuations()));
        else
            m_logger.emit(events::documentApplied,
                "index=" + std::to_string(entry.index) + " version=" + std::to_string(m_state.document().version)
                    + " outcome=" + (*applied == applied_change::Document ? "in_force" : "not_higher"));
    }
}

void consensus_group::perform(install_snapshot const& action, monotonic_time now)
{
    // The snapshot of a newly bootstrapped group has no state.
    if (action.snapshot->data.empty())
        return;
    if (auto const status = m_state.restore(action.snapshot->data); !status.ok()) {
        m_logger.emit(events::storageFailed, messageOf(status));
        m_member->persistFailed(status, now);
    }
}

void consensus_group::perform(take_snapshot const& action, monotonic_time now)
{
    m_member->snapshotTaken(action.index, m_state.snapshot(), now).IgnoreError();
}

void consensus_group::perform(proposal_result const& action, monotonic_time)
{
    auto const proposal = m_proposals.find(action.token);
    if (proposal == m_proposals.end())
        return;
    auto const respond = std::move(proposal->second);
    m_proposals.erase(proposal);
    if (action.outcome == proposal_outcome::Accepted)
        respond({ absl::OkStatus(), {}, std::nullopt });
    else
        respond(makeRefusal(action.status));
}

void consensus_group::perform(read_result const& action, monotonic_time)
{
    if (action.status.ok())
        m_readResponse = { absl::OkStatus(), m_state.document(), std::nullopt };
    else
        m_readResponse = makeRefusal(action.status);
}

void consensus_group::perform(member_removed const&, monotonic_time)
{
    m_logger.emit(events::memberRemoved, "member=" + std::to_string(m_member->identity().member.value));
    m_isRemoved = true;
}

document_response consensus_group::makeRefusal(absl::Status status) const
{
    return { std::move(status), {}, leaderPeer() };
}

std::optional<ip_endpoint> consensus_group::leaderPeer() const
{
    if (!m_member || m_member->leader() == noMember || m_member->leader() == m_member->identity().member)
        return std::nullopt;
    auto const address = addressOf(m_member->leader());
    return address ? std::optional(address->peer) : std::nullopt;
}

void consensus_group::propose(
    std::string payload, std::function<bool()> const& isSatisfied, response_handler respond, monotonic_time now)
{
    // The read makes sure that the state is current, not only applied locally.
    auto const current = read(now);
    if (!current.status.ok())
        return respond(current);
    if (isSatisfied())
        return respond({ absl::OkStatus(), {}, std::nullopt });
    auto const token = m_nextToken++;
    m_proposals[token] = std::move(respond);
    m_member->propose(token, std::move(payload), now);
    executeActions(now);
}

void consensus_group::store(versioned_document const& document, response_handler respond, monotonic_time now)
{
    // A stored version is acknowledged again.
    propose(
        document.encode(), [&] { return document.version <= m_state.document().version; }, std::move(respond), now);
}

void consensus_group::order(evacuation_order const& order, response_handler respond, monotonic_time now)
{
    // An opposite order that is still uncommitted, of a caller that has timed out, would take effect after the
    // acknowledgement.
    propose(
        order.encode(), [&] { return m_member->lastIndex() == m_member->commitIndex() && m_state.satisfies(order); },
        std::move(respond), now);
}

document_response consensus_group::read(monotonic_time now)
{
    if (!m_member)
        return makeRefusal(makeError(error_kind::Unavailable, "this host has not joined the replicated log yet"));
    m_readResponse.reset();
    m_member->read(m_nextToken++, now);
    executeActions(now);
    return m_readResponse.value_or(
        makeRefusal(makeError(error_kind::Unavailable, "this host's member of the replicated log has stopped")));
}

void consensus_group::step(known_hosts const& hosts, monotonic_time now)
{
    if (m_reopenAt && now >= *m_reopenAt)
        start(now);
    if (m_emptyStorage)
        sendJoinRequests(hosts, now);
    if (!m_member)
        return;
    while (m_storage) {
        auto const completed = m_storage->pollCompletion();
        if (!completed)
            break;
        if (completed->status.ok()) {
            m_member->persistCompleted(completed->sequence, now);
            continue;
        }
        m_logger.emit(events::storageFailed, messageOf(completed->status));
        m_member->persistFailed(completed->status, now);
    }
    m_member->tick(now);
    executeActions(now);
    bool const isUnconfigured = m_member->configuration().members().empty();
    if (!isUnconfigured)
        m_lastConfiguredAt = now;
    // A member that was removed before a leader contacted it is never notified of the removal.
    if (isUnconfigured && now - m_lastConfiguredAt >= firstContactTimeout) {
        m_logger.emit(events::memberRemoved,
            "member=" + std::to_string(m_member->identity().member.value) + " reason=no_contact");
        m_isRemoved = true;
    }
    if (m_isRemoved) {
        auto status = discard();
        if (status.ok())
            status = open(now);
        if (!status.ok()) {
            m_logger.emit(events::storageFailed, messageOf(status));
            closeMember();
            m_reopenAt = now + reopenDelay;
        }
        return;
    }
    if (m_member->role() == consensus_role::Stopped) {
        // The state in memory may be ahead of the durable state, which has to be read again.
        closeMember();
        m_reopenAt = now + reopenDelay;
        return;
    }
    if (isLeader() && now - m_plannedAt >= planInterval) {
        m_plannedAt = now;
        planMembers(hosts, now);
    }
}

monotonic_time consensus_group::nextDeadline() const
{
    auto deadline = monotonic_time::max();
    if (m_reopenAt)
        deadline = *m_reopenAt;
    if (m_emptyStorage)
        deadline = std::min(deadline, m_joinRequestsSentAt + joinRequestInterval);
    if (m_member)
        deadline = std::min(deadline, m_member->nextDeadline());
    return deadline;
}

void consensus_group::planMembers(known_hosts const& hosts, monotonic_time now)
{
    std::erase_if(m_applicants, [&](auto const& item) { return now - item.second.lastSeenAt > applicantExpiry; });
    auto const identity = m_member->identity();
    std::vector<member_status> members;
    for (auto const& description : m_member->configuration().members()) {
        auto const address = group_address::parse(description.address);
        if (!address.ok())
            continue;
        auto const* const host = hosts.find(address->peer);
        auto const contact = m_member->lastContact(description.id);
        members.push_back({ description.id, description.role, address->peer.toText(),
            host ? host->host.zone : std::string(), description.address, contact ? now - *contact : duration::zero() });
    }
    std::vector<group_applicant> applicants;
    for (auto const& [peer, pending] : m_applicants) {
        applicants.push_back(pending.applicant);
        // An admission that is not committed may be rolled back, and its member identifier assigned to another host.
        for (auto const& member : m_member->committedConfiguration().members()) {
            if (member.address != pending.applicant.address)
                continue;
            auto const token = group_address::parse(member.address)->token;
            sendControl(peer, join_identity { { identity.cluster, member.id }, token });
        }
    }
    member_id const unused { m_member->configuration().highestMember().value + 1 };
    group_planner_settings settings;
    settings.toleratedLosses = m_settings.toleratedLosses;
    auto const change = planGroupChange(settings, members, identity.member, unused, applicants);
    if (!change)
        return;
    auto const token = m_nextToken++;
    m_proposals[token] = [this, change = *change](document_response const& response) {
        m_logger.emit(events::groupChanged,
            "kind=" + std::to_string(static_cast<int>(change.kind)) + " member=" + std::to_string(change.member.value)
                + " address=\"" + change.address
                + "\" outcome=" + (response.status.ok() ? "committed" : messageOf(response.status)));
    };
    m_member->changeMembership(token, *change, now);
    executeActions(now);
}

void consensus_group::sendJoinRequests(known_hosts const& hosts, monotonic_time now)
{
    if (now - m_joinRequestsSentAt < joinRequestInterval)
        return;
    m_joinRequestsSentAt = now;
    auto receivers = m_seeds;
    for (auto const& host : hosts.list(host_role::Control, now, duration::max()))
        receivers.push_back(host.peer);
    std::sort(receivers.begin(), receivers.end());
    receivers.erase(std::unique(receivers.begin(), receivers.end()), receivers.end());
    for (auto const& receiver : receivers) {
        if (receiver != self().peer)
            m_send(receiver, join_request { self(), m_joinToken });
    }
}

std::vector<ip_endpoint> consensus_group::memberPeers() const
{
    std::vector<ip_endpoint> peers;
    if (!m_member)
        return peers;
    for (auto const& description : m_member->configuration().members()) {
        auto const address = group_address::parse(description.address);
        if (address.ok() && address->peer != self().peer)
            peers.push_back(address->peer);
    }
    return peers;
}

std::optional<group_address> consensus_group::addressOf(member_id id) const
{
    for (auto const& description : m_member->configuration().members()) {
        if (description.id != id)
            continue;
        auto const address = group_address::parse(description.address);
        if (address.ok())
            return *address;
    }
    return std::nullopt;
}

void consensus_group::sendControl(ip_endpoint const& receiver, control_message::body_type body)
{
    host_id const host { m_settings.address.toIpv4() };
    m_send(receiver, control_envelope { m_codec.encode({ host, std::move(body) }) });
}

void consensus_group::transferLeadership(monotonic_time now)
{
    if (!isLeader())
        return;
    // Fails if there is no other voter; the process stops regardless.
    m_member->transferLeadership(now).IgnoreError();
    executeActions(now);
}

std::string_view consensus_group::condition() const
{
    if (m_emptyStorage)
        return "joining";
    if (!m_member || m_member->role() == consensus_role::Stopped)
        return "no disk";
    if (isLeader())
        return "leader";
    return m_member->configuration().isVoter(m_member->identity().member) ? "follower" : "learner";
}

} // namespace bilberryyard
