#pragma once

#include <Coordination/coordinator_settings.h>
#include <Trace/replay_control.h>
#include <memory>

namespace bilberryyard {

/// Entry host as a receiver of configurations.
struct configuration_receiver {
    trace_host host;
    /// Whether the process runs and is not suspended.
    std::function<bool()> isActive;
    std::function<uint64_t()> revision;
    std::function<void(uint64_t, coordinated_configuration)> configure;
    std::function<void(std::function<void()>)> deliver;
};

/// Simulated control hosts, operators, and the distribution of configurations to the entry hosts.
class replay_control_plane {
public:
    /// @param network State shared by all hosts of the replay; must outlive the control plane.
    /// @return The control plane with its members running, or the error of the trace's initial configuration.
    static absl::StatusOr<std::unique_ptr<replay_control_plane>> create(
        replay_network& network, std::vector<configuration_receiver> receivers);

    /// @return The configuration at the start of the trace, which has revision 1.
    coordinated_configuration const& initialConfiguration() const { return m_initial; }

    /// Applies the event if it concerns a control host.
    /// @return Whether the event concerns a control host.
    absl::StatusOr<bool> apply(host_event const& event);

    /// Sends an operator's change, or resends it when its request identifier was already used.
    void submit(change_input const& change);

    /// Completes the measurements at the end of the trace.
    void finish();

private:
    /// An operator's change, and the response to it once one has arrived.
    struct operator_request {
        change_input change;
        uint32_t attempts = 0;
        std::optional<command_result> response;
    };

    replay_control_plane(replay_network& network, std::vector<configuration_receiver> receivers);
    absl::Status bootstrap();
    replay_control* controlOf(host_id host);
    replay_control* controlOf(member_id member);
    replay_control* leader();
    void tickAll();
    void readAll();
    void pollAll(size_t round);
    void poll(configuration_receiver const& receiver, replay_control& control);
    void attempt(std::string const& requestId, size_t position);
    void retry(std::string const& requestId, member_id leader);
    void handleResponse(change_response const& response);
    /// Replaces a member that lost its disk: removes the lost identity and adds the replacement as a learner.
    void replaceMember(member_id lost, member_id replacement);
    void measureChanges();
    bool isInForce(uint64_t revision) const;

    replay_network& m_network;
    std::vector<configuration_receiver> m_receivers;
    replay_control::outputs m_outputs;
    std::vector<std::unique_ptr<replay_control>> m_controls;
    coordinated_configuration m_initial;
    std::map<std::string, operator_request> m_requests;
    /// Time of acceptance by revision, for revisions that are not in force everywhere yet.
    std::map<uint64_t, monotonic_time> m_pendingRevisions;
    uint64_t m_highestAccepted = 0;
    uint32_t m_nextMemberId = 1000;
    std::optional<monotonic_time> m_leaderSeenAt;
};

} // namespace bilberryyard
