#pragma once

#include <Base/event_logger.h>
#include <Configuration/configuration_state_machine.h>
#include <Configuration/daemon_settings.h>
#include <Consensus/consensus_member.h>
#include <Consensus/member_storage.h>
#include <Consensus/posix_file_system.h>
#include <ControlMessages/control_codec.h>
#include <ControlMessages/member_address.h>
#include <Distribution/configuration_publisher.h>
#include <Kernel/bounded_mailbox.h>
#include <Kernel/metrics_registry.h>
#include <Kernel/worker_thread.h>
#include <OperatorInterface/configuration_backend.h>
#include <Transport/message_socket.h>
#include <absl/status/statusor.h>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bilberryyard {

/// The thread of a control host. It owns the member of the replicated log, its storage, the replicated configuration
/// and the distribution to balancers. Other threads access it only through post().
class control_worker {
public:
    template <typename Result>
    using result_promise = std::shared_ptr<std::promise<absl::StatusOr<Result>>>;

    /// Opens the data folder and the sockets and starts the thread.
    /// @param settings Must contain the control role.
    /// @param metrics Must outlive this object.
    /// @return The running thread; the error of the storage or of a socket.
    static absl::StatusOr<std::unique_ptr<control_worker>> create(
        daemon_settings const& settings, metrics_registry& metrics);

    /// Initializes an empty data folder for a bootstrap member of a new cluster. Never called automatically: a host
    /// that lost its disk must not return under its old identity (docs/design.md section 4).
    /// @param settings Must contain the control role; its control members become the first voters.
    /// @return Ok when the data is durable; FailedPrecondition for a folder that is in use.
    static absl::Status bootstrap(daemon_settings const& settings);

    /// Queues a task for the control thread. Callable from any thread.
    /// @return False when the queue is full; the task is then discarded.
    bool post(std::function<void(control_worker&)> task) { return m_tasks.push(std::move(task)); }

    // The following functions may only be called on the control thread, that is, from a task passed to post(). A result
    // may be set after the function has returned.

    void propose(configuration_command const& command, result_promise<command_result> const& result);
    void read(result_promise<configuration_reading> const& result);
    void changeMembers(member_change const& change, result_promise<bool> const& result);
    audit_page audit(audit_query const& query) const;
    std::vector<host_status> status() const;
    std::vector<control_member> members() const;
    /// Starts the transfer of leadership to another voter; does nothing when this member is not the leader.
    void transferLeadership();
    bool isLeader() const;

private:
    using storage_type = member_storage<posix_file_system>;

    struct pending_join {
        member_address address;
        result_promise<bool> result;
        monotonic_time deadline;
    };
    struct received_report {
        host_report report;
        monotonic_time receivedAt;
    };

    control_worker(daemon_settings const& settings, metrics_registry& metrics, std::unique_ptr<posix_file_system> files,
        storage_type storage, message_socket socket, configuration_publisher publisher);

    absl::Status startMember();
    absl::Status loadJoinToken();
    void run(std::stop_token const& stopToken);
    void step();
    void receiveMessages(std::chrono::milliseconds timeout);
    void handle(host_id sender, consensus_message const& message);
    void handle(host_id sender, join_invitation const& message);
    void handle(host_id sender, join_offer const& message);
    void handle(host_id sender, join_identity const& message);
    void handle(host_id sender, host_report const& message);
    void sendTo(host_id receiver, control_message::body_type body);

    void executeActions();
    void perform(send_message const& action);
    void perform(persist_request const& action);
    void perform(apply_entries const& action);
    void perform(install_snapshot const& action);
    void perform(take_snapshot const& action);
    void perform(proposal_result const& action);
    void perform(read_result const& action);
    void perform(member_removed const& action);

    void publishConfiguration();
    void updateReceivers();
    void sendJoinMessages(monotonic_time now);
    void reportHosts(monotonic_time now);
    void completeProposal(uint64_t token, absl::StatusOr<command_result> result);
    host_report ownReport() const;
    std::string condition() const;
    std::optional<member_address> addressOf(member_id member) const;
    std::optional<member_id> memberOn(host_id host) const;
    absl::Status notLeader() const;
    configuration_reading reading(read_consistency consistency, duration age) const;

    daemon_settings m_settings;
    metrics_registry& m_metrics;
    event_logger m_logger { "control" };
    control_codec m_codec;
    std::unique_ptr<posix_file_system> m_files;
    storage_type m_storage;
    message_socket m_socket;
    configuration_publisher m_publisher;
    std::optional<consensus_member<>> m_member;
    configuration_state_machine m_state;
    /// join_offer::token of a host that waits to be added; 0 for a host that started with a member identity.
    uint64_t m_joinToken = 0;

    uint64_t m_nextToken = 1;
    std::map<uint64_t, result_promise<command_result>> m_proposals;
    std::map<uint64_t, result_promise<configuration_reading>> m_reads;
    std::map<uint64_t, result_promise<bool>> m_membershipChanges;
    std::map<log_index, command_result> m_results;
    std::map<host_id, pending_join> m_pendingJoins;
    /// Host that the last message of each member came from.
    std::map<member_id, host_id> m_hostsOfMembers;
    std::map<host_id, received_report> m_reports;
    std::optional<monotonic_time> m_invitationsSentAt;
    std::optional<monotonic_time> m_reportSentAt;

    bounded_mailbox<std::function<void(control_worker&)>> m_tasks { 1024 };
    std::unique_ptr<worker_thread> m_thread;
};

} // namespace bilberryyard
