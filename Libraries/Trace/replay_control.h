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

/// Consensus policies with one mechanism disabled, for replays that show what the mechanism is needed for.
struct policy_without_lease : consensus_policy {
    static constexpr bool checksLease = false;
};
struct policy_without_sync : consensus_policy {
    static constexpr bool holdsMessagesUntilSynced = false;
};

/// Response to an operator's configuration change.
struct change_response {
    std::string requestId;
    command_result result;
};

/// Simulated control host: a member of the replicated log, its disk and its state machine.
class replay_control {
public:
    /// Callbacks for the messages and results that the host produces.
    struct outputs {
        std::function<void(trace_host, consensus_message const&)> message;
        std::function<void(change_response const&)> response;
        /// The request has to be sent again: to the given leader, or to any member if it is noMember.
        std::function<void(std::string const& requestId, member_id leader)> retry;
        /// A read returned a revision. highestAcceptedBefore is the argument with which the read was started.
        std::function<void(uint64_t revision, uint64_t highestAcceptedBefore)> read;
        /// Log entries or a snapshot were applied.
        std::function<void(trace_host)> applied;
    };

    /// @param bootstrapMembers Members with which the cluster is bootstrapped.
    /// @param initialState State machine snapshot with the initial configuration.
    /// @param network State shared by all hosts of the replay; must outlive the host.
    /// @param emit Callbacks for the host's output; must outlive the host.
    replay_control(trace_host host, cluster_configuration const& bootstrapMembers, std::string const& initialState,
        replay_network& network, outputs const& emit);

    trace_host host() const { return m_host; }
    member_id member() const { return m_identity; }
    bool isRunning() const { return !std::holds_alternative<std::monostate>(m_member); }
    bool isActive() const { return isRunning() && !m_suspended; }
    bool isLeader() const;
    /// @return Whether the cluster configuration in effect on this host contains the member.
    bool hasMember(member_id member) const;
    configuration_state_machine const& state() const { return m_state; }

    absl::Status start();
    /// Ends the process without a shutdown. Writes that were not synced are lost.
    void kill();
    /// Ends the process and loses the data folder. The next start uses the given identity, as a learner.
    void loseDisk(member_id newIdentity);
    void suspend() { m_suspended = isRunning(); }
    void resume();
    /// Runs an event on the host: immediately, or on resume if the process is suspended. The event is lost when the
    /// process does not run.
    void deliver(std::function<void()> event);

    void receive(consensus_message const& message);
    void tick();
    /// Proposes a change of the configuration.
    void propose(std::string const& requestId, configuration_command const& command);
    void changeMembership(membership_change const& change);
    /// Reads the current revision.
    /// @param acceptedBefore Highest revision accepted before the read; a lower result is a stale read.
    void read(uint64_t acceptedBefore);

private:
    using member_variant = std::variant<std::monostate, consensus_member<>, consensus_member<policy_without_lease>,
        consensus_member<policy_without_sync>>;

    /// Synced state, which survives the process.
    struct disk_state {
        vote_record vote;
        std::shared_ptr<log_snapshot const> snapshot;
        std::vector<log_entry> entries;
    };

    template <typename Member>
    absl::Status startAs();
    template <typename Function>
    void withMember(Function&& function);
    void performActions();
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
    uint64_t m_incarnation = 0;
    bool m_suspended = false;
};

} // namespace bilberryyard
