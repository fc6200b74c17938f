#include "log_simulation.h"

#include <Base/error_kind.h>
#include <processor_time.h>

namespace bilberryyard {

namespace {

    using namespace std::chrono_literals;

    constexpr duration tickInterval = 10ms;
    constexpr int maximumElectionTicks = 1'000;

} // namespace

absl::StatusOr<log_simulation> log_simulation::create(uint32_t voters)
{
    log_simulation result;
    std::vector<member_description> members;
    for (uint32_t id = 1; id <= voters; ++id)
        members.push_back({ member_id { id }, member_role::Voter, "10.0.0." + std::to_string(id) + ":7000" });
    auto const bootstrapConfiguration = cluster_configuration::create(std::move(members));
    if (!bootstrapConfiguration.ok())
        return bootstrapConfiguration.status();
    for (uint32_t id = 1; id <= voters; ++id) {
        restored_state restored;
        restored.snapshot = std::make_shared<log_snapshot const>(log_snapshot { 0, 0, *bootstrapConfiguration, {} });
        auto log = consensus_member<>::create({ 1, member_id { id } }, {}, std::move(restored), id, result.m_now);
        if (!log.ok())
            return log.status();
        result.m_members.push_back({ *std::move(log), configuration_state_machine(), {} });
    }
    return result;
}

absl::Status log_simulation::perform(uint32_t index, consensus_action const& action)
{
    auto& self = m_members[index];
    if (auto const* sent = std::get_if<send_message>(&action)) {
        m_outbox.push_back(m_codec.encode({ host_id { index + 1 }, sent->message }));
        m_receivers.push_back(sent->message.receiver.value - 1);
        (index == m_leader ? m_cost.leaderBytes : m_cost.followerBytes) += m_outbox.back().size();
    } else if (auto const* persist = std::get_if<persist_request>(&action)) {
        self.log.persistCompleted(persist->sequence, m_now);
    } else if (auto const* committed = std::get_if<apply_entries>(&action)) {
        for (auto const& entry : committed->entries) {
            if (entry.kind != entry_kind::Application)
                continue;
            if (auto const result = self.state.apply(entry.payload); !result.isAccepted())
                return result.toStatus();
        }
    } else if (auto const* snapshotRequest = std::get_if<take_snapshot>(&action)) {
        return self.log.snapshotTaken(snapshotRequest->index, self.state.snapshot(), m_now);
    } else if (auto const* proposalResult = std::get_if<proposal_result>(&action)) {
        m_completedToken = proposalResult->token;
        m_proposalStatus = proposalResult->status;
    }
    return absl::OkStatus();
}

absl::Status log_simulation::runMember(uint32_t index)
{
    auto& self = m_members[index];
    auto const begin = processorSeconds();
    for (; !self.inbox.empty(); self.inbox.pop_front()) {
        auto const message = m_codec.decode(self.inbox.front());
        if (!message.ok())
            return message.status();
        self.log.receive(std::get<consensus_message>(message->body), m_now);
    }
    self.log.tick(m_now);
    for (auto actions = self.log.drainActions(m_now); !actions.empty(); actions = self.log.drainActions(m_now)) {
        for (auto const& action : actions) {
            if (auto status = perform(index, action); !status.ok())
                return status;
        }
    }
    (index == m_leader ? m_cost.leaderSeconds : m_cost.followerSeconds) += processorSeconds() - begin;
    for (size_t sent = 0; sent < m_outbox.size(); ++sent)
        m_members[m_receivers[sent]].inbox.push_back(std::move(m_outbox[sent]));
    m_outbox.clear();
    m_receivers.clear();
    return absl::OkStatus();
}

absl::Status log_simulation::processMessages()
{
    bool busy = true;
    while (busy) {
        for (uint32_t index = 0; index < m_members.size(); ++index) {
            if (auto status = runMember(index); !status.ok())
                return status;
        }
        busy = false;
        for (auto const& value : m_members)
            busy = busy || !value.inbox.empty();
    }
    return absl::OkStatus();
}

absl::Status log_simulation::idle(duration period)
{
    for (auto const end = m_now + period; m_now < end;) {
        m_now += tickInterval;
        if (auto status = processMessages(); !status.ok())
            return status;
    }
    return absl::OkStatus();
}

absl::Status log_simulation::elect()
{
    for (int tick = 0; tick < maximumElectionTicks; ++tick) {
        for (uint32_t index = 0; index < m_members.size(); ++index) {
            if (m_members[index].log.role() == consensus_role::Leader) {
                m_leader = index;
                return idle(1s);
            }
        }
        if (auto status = idle(tickInterval); !status.ok())
            return status;
    }
    return makeError(error_kind::DeadlineExceeded, "no member was elected leader");
}

absl::Status log_simulation::change(configuration_command const& command)
{
    auto const begin = processorSeconds();
    m_members[m_leader].log.propose(++m_token, command.encode(), m_now);
    m_cost.leaderSeconds += processorSeconds() - begin;
    auto const revision = leaderState().current().revision;
    // Followers receive the commit index with the next heartbeat, which is sent within this time.
    if (auto status = idle(200ms); !status.ok())
        return status;
    if (m_completedToken != m_token || !m_proposalStatus.ok())
        return m_proposalStatus.ok()
            ? makeError(error_kind::DeadlineExceeded, "no result of the proposed change was reported")
            : m_proposalStatus;
    for (auto const& value : m_members) {
        if (value.state.current().revision != revision + 1)
            return makeError(error_kind::Internal, "a member did not apply the proposed change");
    }
    return absl::OkStatus();
}

log_cost log_simulation::cost() const
{
    auto result = m_cost;
    auto const followers = m_members.size() - 1;
    result.followerSeconds /= static_cast<double>(followers);
    result.followerBytes /= followers;
    return result;
}

} // namespace bilberryyard
