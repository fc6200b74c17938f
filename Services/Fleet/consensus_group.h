#pragma once

#include "fleet_settings.h"
#include "group_address.h"
#include "known_hosts.h"
#include "storage_worker.h"

#include <Base/event_logger.h>
#include <Configuration/operator_state.h>
#include <Consensus/consensus_member.h>
#include <Consensus/group_planner.h>
#include <ControlMessages/control_codec.h>
#include <absl/status/statusor.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace bilberryyard {

/// The response to a read or store request for the replicated document.
struct document_response {
    /// Ok if the request succeeded, NotLeader if it should be sent to `leader`, Unavailable otherwise.
    absl::Status status;
    /// The document that was read; empty for a store.
    versioned_document document;
    /// Peer address of the leader, if another member is known to lead.
    std::optional<ip_endpoint> leader;
};

/// A control host's membership of the replicated log. Bootstraps the group or joins it, replaces lost members while it
/// leads, and joins again after the loss of its disk. Not thread-safe.
class consensus_group {
public:
    using sender = std::function<void(ip_endpoint const&, fleet_message const&)>;
    using response_handler = std::function<void(document_response const&)>;

    /// @param settings Settings of a control host.
    /// @param send Sends a message to a peer address.
    /// @param wake Raised when a write is complete and step() has work; must outlive this object.
    consensus_group(fleet_settings const& settings, sender send, wake_signal const& wake);

    /// Opens the data folder, then starts as a member, bootstraps the group or starts to join it. After an error the
    /// host is not a member, and step() retries.
    void start(monotonic_time now);

    void receive(control_message const& message, ip_endpoint const& from, monotonic_time now);
    void receive(join_request const& request, monotonic_time now);

    /// @param document A validated document.
    /// @param respond Called once, possibly before this call returns, with Ok if the document or a higher version is
    /// stored.
    void store(versioned_document const& document, response_handler respond, monotonic_time now);

    /// Stores an order of an operator.
    /// @param respond Called once, possibly before this call returns, with Ok if the order is in force.
    void order(evacuation_order const& order, response_handler respond, monotonic_time now);

    /// @return The current document, or why it is not available.
    document_response read(monotonic_time now);

    /// Handles due timers and completed writes.
    /// @param hosts Discovered hosts: their zones guide the choice of voters, and applicants send them join requests.
    void step(known_hosts const& hosts, monotonic_time now);

    /// Writes a file beside the log; only for data that speeds up a restart and may be lost. Does nothing on a host
    /// that is not a member.
    void saveFile(std::string const& name, std::string bytes);
    /// @param name A file that saveFile() wrote, possibly in an earlier incarnation.
    /// @return Its content; nullopt if it does not exist or cannot be read.
    std::optional<std::string> loadFile(std::string const& name);

    /// @return When to call step() next, unless `wake` is raised earlier.
    monotonic_time nextDeadline() const;

    /// @return The latest committed document that this member has applied; may be stale.
    versioned_document const& document() const { return m_state.document(); }
    /// @return The evacuated zones that this member has applied; may be stale.
    evacuated_zones const& evacuations() const { return m_state.evacuations(); }
    bool isLeader() const { return m_member && m_member->role() == consensus_role::Leader; }
    /// @return Peer addresses of all other members.
    std::vector<ip_endpoint> memberPeers() const;
    /// Sets the peer addresses that receive join requests in addition to the discovered control hosts.
    void setSeeds(std::vector<ip_endpoint> peers) { m_seeds = std::move(peers); }
    void transferLeadership(monotonic_time now);
    /// @return "leader", "follower", "learner", "joining" or "no disk", for log lines.
    std::string_view condition() const;
    term_number term() const { return m_member ? m_member->term() : 0; }
    log_index commitIndex() const { return m_member ? m_member->commitIndex() : 0; }

private:
    using storage_type = storage_worker::storage_type;
    /// Delay before opening a data folder again after an error.
    static constexpr duration reopenDelay = std::chrono::milliseconds(500);

    absl::Status open(monotonic_time now);
    absl::Status bootstrapMember(storage_type& storage);
    absl::Status startMember(storage_type storage, monotonic_time now);
    absl::Status loadJoinToken();
    absl::Status finishDiscarding();
    absl::Status discard();
    void closeMember();

    void handle(ip_endpoint const& from, consensus_message const& message, monotonic_time now);
    void handle(ip_endpoint const& from, join_identity const& message, monotonic_time now);
    void handle(ip_endpoint const&, join_invitation const&, monotonic_time) { }
    void handle(ip_endpoint const&, join_offer const&, monotonic_time) { }
    void handle(ip_endpoint const&, host_report const&, monotonic_time) { }

    void executeActions(monotonic_time now);
    void perform(send_message const& action, monotonic_time now);
    void perform(persist_request const& action, monotonic_time now);
    void perform(apply_entries const& action, monotonic_time now);
    void perform(install_snapshot const& action, monotonic_time now);
    void perform(take_snapshot const& action, monotonic_time now);
    void perform(proposal_result const& action, monotonic_time now);
    void perform(read_result const& action, monotonic_time now);
    void perform(member_removed const& action, monotonic_time now);

    /// Commits a payload unless the current state satisfies it already.
    /// @param isSatisfied Returns whether that is so; called when the state is known to be current.
    void propose(
        std::string payload, std::function<bool()> const& isSatisfied, response_handler respond, monotonic_time now);
    void planMembers(known_hosts const& hosts, monotonic_time now);
    void sendJoinRequests(known_hosts const& hosts, monotonic_time now);
    void sendControl(ip_endpoint const& receiver, control_message::body_type body);
    std::optional<group_address> addressOf(member_id id) const;
    std::optional<ip_endpoint> leaderPeer() const;
    document_response makeRefusal(absl::Status status) const;
    fleet_host self() const;

    fleet_settings m_settings;
    sender m_send;
    wake_signal const& m_wake;
    event_logger m_logger { "group" };
    control_codec m_codec { 0 };
    posix_file_system m_files;
    std::unique_ptr<storage_worker> m_storage;
    std::optional<consensus_member<>> m_member;
    operator_state m_state;
    /// Withdrawn with the first identity. A host whose member was removed has to join under a new identifier: with its
    /// first one and an empty log it could vote for a leader that lacks committed entries.
    bootstrap_permission m_bootstrap;
    uint64_t m_joinToken = 0;
    /// An empty data folder, kept open until the group assigns an identity to this host.
    std::optional<storage_type> m_emptyStorage;
    bool m_isRemoved = false;
    /// When the member last had a group configuration; initially when it started.
    monotonic_time m_lastConfiguredAt;
    std::optional<monotonic_time> m_reopenAt;

    struct pending_applicant {
        group_applicant applicant;
        ip_endpoint peer;
        monotonic_time lastSeenAt;
    };
    std::map<ip_endpoint, pending_applicant> m_applicants;
    std::vector<ip_endpoint> m_seeds;
    monotonic_time m_plannedAt;
    monotonic_time m_joinRequestsSentAt;

    uint64_t m_nextToken = 1;
    std::map<uint64_t, response_handler> m_proposals;
    std::optional<document_response> m_readResponse;
    /// Source address of the last message of each member. A learner that has just joined has no configuration to look
    /// up addresses in.
    std::map<member_id, ip_endpoint> m_peersOfMembers;
    consensus_role m_loggedRole = consensus_role::Follower;
};

} // namespace bilberryyard
