#pragma once

#include <Configuration/configuration_state_machine.h>
#include <Consensus/consensus_member.h>
#include <Trace/replay_network.h>
#include <absl/status/statusor.h>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace bilberryyard {

/// Mechanisms of the replicated log that a replay can switch off.
struct policy_without_lease : consensus_policy {
    static constexpr bool checksLease = false;
};
struct policy_without_sync : consensus_policy {
    static constexpr bool holdsMessagesUntilSynced = false;
};

/// What an operator is told.
struct change_answer {
    std::string requestId;
    command_result result;
};

/// One control host of a replay: a member of the replicated log, its disk and the state machine.
class replay_control {
public:
    /// What the host emits.
    struct outputs {
        std::function<void(trace_host, consensus_message const&)> message;
        std::function<void(change_answer const&)> answer;
        /// The request was not answered; the leader as far as known.
        std::function<void(std::string const& requestId, member_id leader)> retry;
        std::function<void(uint64_t revision, uint64_t submittedAfter)> read;
        /// A revision was applied.
        std::function<void(trace_host)> applied;
    };

    /// @param host The host and its zone.
    /// @param founding The founding members.
    /// @param initialState State machine snapshot with the first configuration.
    /// @param network Shared state.
    /// @param emit Where its output goes; must outlive the host.
    replay_control(trace_host host, cluster_configuration const& founding, std::string const& initialState,
        replay_network& network, outputs const& emit);

    trace_host host() const { return m_host; }
    member_id member() const { return m_identity; }
    bool isRunning() const { return !std::holds_alternative<std::monostate>(m_member); }
    bool isActive() const { return isRunning() && !m_suspended; }
    bool isLeader() const;
    /// @return Whether the configuration in effect here has the member.
    bool hasMember(member_id member) const;
    configuration_state_machine const& state() const { return m_state; }

    absl::Status start();
    /// Ends the process; what was not synced is lost.
    void kill();
    /// Also loses the data folder; the host returns under the given identity as a learner.
    void loseDisk(member_id newIdentity);
    void suspend() { m_suspended = isRunning(); }
    void resume();
    /// Hands an event to the host, now or when it resumes.
    void deliver(std::function<void()> event);

    void receive(consensus_message const& message);
    void tick();
    /// Proposes a change of the configuration.
    void propose(std::string const& requestId, configuration_command const& command);
    void changeMembership(membership_change const& change);
    /// Reads the current revision.
    /// @param acceptedBefore Highest revision that was accepted before the read.
    void read(uint64_t acceptedBefore);

private:
    using member_variant = std::variant<std::monostate, consensus_member<>, consensus_member<policy_without_lease>,
        consensus_member<policy_without_sync>>;

    /// What survives the process.
    struct disk_state {
        vote_record vote;
        std::shared_ptr<log_snapshot const> snapshot;
        std::vector<log_entry> entries;
    };

    template <typename Member>
    absl::Status startAs();
    template <typename Function>
    void withMember(Function&& function);
    void act();
    void perform(send_message const& action);
    void perform(persist_request const& action);
    void perform(apply_entries const& action);
    void perform(install_snapshot const& action);
    void perform(take_snapshot const& action);
    void perform(proposal_result const& action);
    void perform(read_result const& action);
    void perform(member_removed const& action);
    void write(persist_request const& request);

    trace_host m_host;
    replay_network& m_network;
    outputs const& m_emit;
    member_id m_identity;
    disk_state m_disk;
    member_variant m_member;
    configuration_state_machine m_state;
    std::vector<std::function<void()>> m_inbox;
    std::map<log_index, command_result> m_results;
    std::map<uint64_t, std::string> m_proposals;
    std::map<uint64_t, uint64_t> m_reads;
    uint64_t m_nextToken = 0;
    uint64_t m_process = 0;
    bool m_suspended = false;
};

} // namespace bilberryyard
