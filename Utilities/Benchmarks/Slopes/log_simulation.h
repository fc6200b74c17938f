#pragma once

#include <Configuration/configuration_state_machine.h>
#include <Consensus/consensus_member.h>
#include <ControlMessages/control_codec.h>
#include <absl/status/statusor.h>
#include <deque>
#include <string>
#include <vector>

namespace bilberryyard {

/// What the control members spent since the last reset.
struct log_cost {
    double leaderSeconds = 0;
    double followerSeconds = 0;
    uint64_t leaderBytes = 0;
    uint64_t followerBytes = 0;
};

/// Members of the replicated log joined by an in-memory queue, with a simulated clock. Storage
/// completes at once and costs nothing, so the times exclude the sync of the log.
class log_simulation {
public:
    /// @param voters the number of members
    static absl::StatusOr<log_simulation> create(uint32_t voters);

    /// Waits until a member leads.
    absl::Status elect();

    /// Replicates one change and applies it at every member.
    absl::Status change(configuration_command const& command);

    /// Lets time pass without changes, so that only heartbeats are sent.
    absl::Status idle(duration time);

    void resetCost() { m_cost = {}; }
    /// @return the totals; those of the followers are means over the followers
    log_cost cost() const;

    configuration_state_machine const& leaderState() const { return m_members[m_leader].state; }

private:
    struct member {
        consensus_member<> log;
        configuration_state_machine state;
        std::deque<std::string> inbox;
    };

    absl::Status settle();
    absl::Status runMember(uint32_t index);
    absl::Status perform(uint32_t index, consensus_action const& action);

    control_codec m_codec { 1 };
    monotonic_time m_now { std::chrono::hours { 1 } };
    std::vector<member> m_members;
    std::vector<std::string> m_outbox;
    std::vector<uint32_t> m_receivers;
    uint32_t m_leader = 0;
    uint64_t m_answered = 0;
    uint64_t m_token = 0;
    absl::Status m_refusal;
    log_cost m_cost;
};

} // namespace bilberryyard
