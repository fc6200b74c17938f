#pragma once

#include <Configuration/configuration_state_machine.h>
#include <Consensus/consensus_member.h>
#include <ControlMessages/control_codec.h>
#include <absl/status/statusor.h>
#include <deque>
#include <string>
#include <vector>

namespace bilberryyard {

/// Processor time and bytes sent by the members since the last reset.
struct log_cost {
    double leaderSeconds = 0;
    double followerSeconds = 0;
    uint64_t leaderBytes = 0;
    uint64_t followerBytes = 0;
};

/// Members of the replicated log connected by an in-memory queue, with a simulated clock. Storage requests complete
/// at once and cost nothing, so the processor times exclude the sync of the log.
class log_simulation {
public:
    /// @param voters Number of members; all of them vote.
    static absl::StatusOr<log_simulation> create(uint32_t voters);

    /// Runs until a member is elected leader, and one second longer.
    /// @return DeadlineExceeded if no member is elected within 10 s of simulated time.
    absl::Status elect();

    /// Replicates one change; takes 200 ms of simulated time.
    /// @return Ok if every member has applied the change.
    absl::Status change(configuration_command const& command);

    /// Advances the simulated clock without changes, so that only heartbeats are sent.
    absl::Status idle(duration period);

    void resetCost() { m_cost = {}; }
    /// @return The cost since the last reset; the values of the followers are means over all followers.
    log_cost cost() const;

    configuration_state_machine const& leaderState() const { return m_members[m_leader].state; }

private:
    struct member {
        consensus_member<> log;
        configuration_state_machine state;
        std::deque<std::string> inbox;
    };

    absl::Status processMessages();
    absl::Status runMember(uint32_t index);
    absl::Status perform(uint32_t index, consensus_action const& action);

    control_codec m_codec { 1 };
    monotonic_time m_now { std::chrono::hours { 1 } };
    std::vector<member> m_members;
    std::vector<std::string> m_outbox;
    std::vector<uint32_t> m_receivers;
    uint32_t m_leader = 0;
    uint64_t m_completedToken = 0;
    uint64_t m_token = 0;
    absl::Status m_proposalStatus;
    log_cost m_cost;
};

} // namespace bilberryyard
