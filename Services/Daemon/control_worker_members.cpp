// Membership of the replicated log, and the host reports that control hosts exchange.
#include "control_worker.h"

#include <Base/error_kind.h>
#include <algorithm>

namespace bilberryyard {

namespace {

    constexpr std::chrono::milliseconds invitationInterval { 200 };
    constexpr std::chrono::seconds joinTimeout { 5 };
    constexpr std::chrono::milliseconds reportInterval { 1'000 };
    // A balancer sends a request at least every 2.5 s. It counts as unresponsive after twice that interval.
    constexpr std::chrono::seconds unresponsiveTimeout { 5 };

    std::string balancerCondition(balancer_report const& row)
    {
        if (row.age > unresponsiveTimeout)
            return "not heard from";
        switch (row.state) {
        case 0:
            return "synchronised";
        case 1:
            return "unsynchronised";
        default:
            return "isolated";
        }
    }

} // namespace

std::optional<member_address> control_worker::addressOf(member_id member) const
{
    for (auto const& description : m_member->configuration().members()) {
        if (description.id != member)
            continue;
        auto const address = member_address::parse(description.address);
        if (address.ok())
            return *address;
    }
    return std::nullopt;
}

std::optional<member_id> control_worker::memberOn(host_id host) const
{
    for (auto const& description : m_member->configuration().members()) {
        auto const address = member_address::parse(description.address);
        if (address.ok() && address->host == host)
            return description.id;
    }
    return std::nullopt;
}

void control_worker::updateReceivers()
{
    for (auto const& description : m_member->configuration().members()) {
        auto const address = member_address::parse(description.address);
        if (address.ok() && address->host != m_settings.host)
            m_socket.setReceiver(address->host, { address->peer.address, address->peer.port });
    }
}

std::vector<control_member> control_worker::members() const
{
    std::vector<control_member> result;
    if (!m_member)
        return result;
    for (auto const& description : m_member->committedConfiguration().members()) {
        auto const address = member_address::parse(description.address);
        if (address.ok())
            result.push_back({ address->host, address->peer, address->distribution });
    }
    return result;
}

void control_worker::changeMembers(member_change const& change, result_promise<bool> const& result)
{
    if (!isLeader()) {
        result->set_value(notLeader());
        return;
    }
    auto const host = change.member.host;
    auto const existingMember = memberOn(host);
    if (change.kind == member_change_kind::Remove) {
        if (!existingMember) {
            result->set_value(true);
            return;
        }
        auto const token = m_nextToken++;
        m_membershipChanges[token] = result;
        m_member->changeMembership(
            token, { membership_change_kind::Remove, *existingMember, {} }, std::chrono::steady_clock::now());
        executeActions();
        return;
    }
    if (existingMember) {
        auto const address = addressOf(*existingMember);
        bool const isSame = address->peer == change.member.peer && address->distribution == change.member.distribution;
        if (isSame)
            result->set_value(true);
        else
            result->set_value(makeError(error_kind::FailedPrecondition,
                "host " + std::to_string(host.value) + " is a member with other addresses; remove it first"));
        return;
    }
    m_socket.setReceiver(host, { change.member.peer.address, change.member.peer.port });
    m_pendingJoins[host] = { { host, change.member.peer, change.member.distribution, 0 }, result,
        std::chrono::steady_clock::now() + joinTimeout };
    m_invitationsSentAt.reset();
}

void control_worker::sendJoinMessages(monotonic_time now)
{
    if (m_invitationsSentAt && now - *m_invitationsSentAt < invitationInterval)
        return;
    m_invitationsSentAt = now;
    std::erase_if(m_pendingJoins, [&](auto const& item) {
        if (now < item.second.deadline && isLeader())
            return false;
        item.second.result->set_value(isLeader()
                ? makeError(error_kind::Unavailable,
                    "host " + std::to_string(item.first.value)
                        + " did not respond to the join invitation, or already has a member identity")
                : notLeader());
        return true;
    });
    for (auto const& [host, join] : m_pendingJoins)
        sendTo(host, join_invitation {});
    if (!isLeader())
        return;
    for (auto const& description : m_member->configuration().members()) {
        auto const address = member_address::parse(description.address);
        if (description.role == member_role::Learner && address.ok())
            sendTo(address->host, join_identity { { m_member->identity().cluster, description.id }, address->token });
    }
}

void control_worker::handle(host_id sender, join_invitation const&)
{
    if (!m_member)
        sendTo(sender, join_offer { m_joinToken });
}

void control_worker::handle(host_id sender, join_offer const& message)
{
    auto const join = m_pendingJoins.find(sender);
    if (join == m_pendingJoins.end() || !isLeader())
        return;
    auto address = join->second.address;
    address.token = message.token;
    auto const token = m_nextToken++;
    m_membershipChanges[token] = join->second.result;
    m_pendingJoins.erase(join);
    member_id const member { m_member->configuration().highestMember().value + 1 };
    m_member->changeMembership(
        token, { membership_change_kind::AddLearner, member, address.toText() }, std::chrono::steady_clock::now());
}

void control_worker::handle(host_id, join_identity const& message)
{
    if (m_member || message.token != m_joinToken)
        return;
    if (auto const status = m_storage.initialize(message.identity, {}); !status.ok())
        return m_logger.emit(events::storageFailed, messageOf(status));
    if (auto const status = startMember(); !status.ok())
        m_logger.emit(events::storageFailed, messageOf(status));
}

void control_worker::handle(host_id sender, host_report const& message)
{
    m_reports[sender] = { message, std::chrono::steady_clock::now() };
}

std::string control_worker::condition() const
{
    if (!m_member)
        return "waiting to be added";
    if (isLeader())
        return "leader";
    if (m_member->role() == consensus_role::Stopped)
        return "stopped";
    auto const age = m_member->dataAge(std::chrono::steady_clock::now());
    if (!age || *age > unresponsiveTimeout)
        return "isolated";
    return m_member->configuration().isVoter(m_member->identity().member) ? "follower" : "learner";
}

host_report control_worker::ownReport() const
{
    host_report report { m_settings.zone, m_state.current().revision, condition(), {} };
    auto const now = std::chrono::steady_clock::now();
    for (auto const& subscriber : m_publisher.subscribers()) {
        report.balancers.push_back(
            { subscriber.host, subscriber.zone, subscriber.revision, subscriber.state, now - subscriber.lastSeenAt });
    }
    return report;
}

void control_worker::reportHosts(monotonic_time now)
{
    if (m_reportSentAt && now - *m_reportSentAt < reportInterval)
        return;
    m_reportSentAt = now;
    m_metrics.setGauge("control_is_leader", isLeader() ? 1 : 0);
    m_metrics.setGauge("control_revision", static_cast<double>(m_state.current().revision));
    m_metrics.setGauge("control_sent_bytes", static_cast<double>(m_socket.sentBytes()));
    if (!m_member)
        return;
    auto const report = ownReport();
    for (auto const& member : members()) {
        if (member.host != m_settings.host)
            sendTo(member.host, report);
    }
}

std::vector<host_status> control_worker::status() const
{
    auto const now = std::chrono::steady_clock::now();
    std::map<host_id, host_status> rows;
    std::map<host_id, balancer_report> balancers;
    auto const addReport = [&](host_id host, host_report const& report, duration age) {
        rows[host] = { host, report.zone, { "control" },
            age > unresponsiveTimeout ? "not heard from" : report.condition, report.revision, age };
        for (auto row : report.balancers) {
            row.age += age;
            // Balancers switch between control hosts; the most recent report counts.
            auto const latest = balancers.find(row.host);
            if (latest == balancers.end() || row.age < latest->second.age)
                balancers[row.host] = row;
        }
    };
    addReport(m_settings.host, ownReport(), duration::zero());
    for (auto const& [host, received] : m_reports)
        addReport(host, received.report, now - received.receivedAt);
    for (auto const& [host, row] : balancers) {
        auto const controlRow = rows.find(host);
        if (controlRow != rows.end()) {
            controlRow->second.roles.emplace_back("balancer");
            continue;
        }
        rows[host] = { host, row.zone, { "balancer" }, balancerCondition(row), row.revision, row.age };
    }
    std::vector<host_status> result;
    result.reserve(rows.size());
    for (auto& [host, row] : rows)
        result.push_back(std::move(row));
    return result;
}

} // namespace bilberryyard
