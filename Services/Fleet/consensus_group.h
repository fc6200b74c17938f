#pragma once

#include "fleet_settings.h"
#include "group_address.h"
#include "known_hosts.h"
#include "storage_worker.h"

#include <Base/event_logger.h>
#include <Configuration/versioned_document.h>
#include <Consensus/consensus_member.h>
#include <Consensus/group_planner.h>
#include <ControlMessages/control_codec.h>
#include <absl/status/statusor.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace bilberryyard {

/// The answer to a request for the replicated document.
struct document_response {
    /// Ok when the request was carried out. NotLeader when `leader` should be asked, Unavailable otherwise.
    absl::Status status;
    /// For a read: the document.
    versioned_document document;
    /// Peer address of the leader, as far as known.
    std::optional<ip_endpoint> leader;
};

/// A control host's membership of the replicated log: founds the group or joins it, replaces lost members while it
/// leads, and survives the loss of its disk. Used on one thread.
class consensus_group {
public:
    using sender = std::function<void(ip_endpoint const&, fleet_message const&)>;
    using response_handler = std::function<void(document_response const&)>;

    /// @param settings Settings of a control host.
    /// @param send Sends a message to a peer.
    /// @param wake Raised when work is ready; outlives this object.
    consensus_group(fleet_settings const& settings, sender send, wake_signal const& wake);

    /// Opens the data folder, and founds the group or begins to join it. An error leaves a host that is no member;
    /// step() tries again.
    /// @param now The time.
    void start(monotonic_time now);

    void receive(control_message const& message, ip_endpoint const& from, monotonic_time now);
    void receive(join_request const& request, monotonic_time now);

    /// @param document A valid document.
    /// @param answer Called once, perhaps at once: Ok when the document or a higher version is stored.
    /// @param now The time.
    void store(versioned_document const& document, response_handler answer, monotonic_time now);

    /// @param now The time.
    /// @return The current document, or why it cannot be given.
    document_response read(monotonic_time now);

    /// Handles due timers and completed writes.
    /// @param hosts Where members are, for the choice of voters and for finding the group.
    /// @param now The time.
    void step(known_hosts const& hosts, monotonic_time now);

    /// Saves a file beside the log that saves time after a restart and may be lost.
    /// @param name Name of the file.
    /// @param bytes Its content.
    void saveFile(std::string const& name, std::string bytes);
    /// @param name A file that saveFile() has written, perhaps in an earlier run.
    /// @return Its content; nothing without a readable file.
    std::optional<std::string> loadFile(std::string const& name);

    /// @return When step() is due next.
    monotonic_time nextDeadline() const;

    /// @return The document that is committed as far as this member knows.
    versioned_document const& document() const { return m_register.current(); }
    bool isLeader() const { return m_member && m_member->role() == consensus_role::Leader; }
    /// @return Peer addresses of all members.
    std::vector<ip_endpoint> memberPeers() const;
    /// Sets the control hosts to ask for admission besides those that are known.
    void setSeeds(std::vector<ip_endpoint> peers) { m_seeds = std::move(peers); }
    void transferLeadership(monotonic_time now);
    /// @return For logs and metrics: "leader", "follower", "learner", "joining" or "no disk".
    std::string_view condition() const;
    term_number term() const { return m_member ? m_member->term() : 0; }
    log_index commitIndex() const { return m_member ? m_member->commitIndex() : 0; }

private:
    using storage_type = storage_worker::storage_type;
    /// Time after which a data folder that could not be used is tried again.
    static constexpr duration reopenDelay = std::chrono::milliseconds(500);

    absl::Status open(monotonic_time now);
    absl::Status found(storage_type& storage);
    absl::Status startMember(storage_type storage, monotonic_time now);
    absl::Status loadToken();
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

    void planMembers(known_hosts const& hosts, monotonic_time now);
    void askToJoin(known_hosts const& hosts, monotonic_time now);
    void sendControl(ip_endpoint const& receiver, control_message::body_type body);
    std::optional<group_address> addressOf(member_id id) const;
    std::optional<ip_endpoint> leaderPeer() const;
    document_response refusal(absl::Status status) const;
    fleet_host self() const;

    fleet_settings m_settings;
    sender m_send;
    wake_signal const& m_wake;
    event_logger m_logger { "group" };
    control_codec m_codec { 0 };
    posix_file_system m_files;
    std::unique_ptr<storage_worker> m_storage;
    std::optional<consensus_member<>> m_member;
    document_register m_register;
    uint64_t m_token = 0;
    /// An empty data folder, kept open until the group has given this host an identity.
    std::optional<storage_type> m_emptyStorage;
    bool m_isRemoved = false;
    /// When the member started, or was last seen to have a configuration.
    monotonic_time m_startedAt;
    std::optional<monotonic_time> m_reopenAt;

    struct pending_applicant {
        group_applicant applicant;
        ip_endpoint peer;
        monotonic_time lastSeenAt;
    };
    std::map<ip_endpoint, pending_applicant> m_applicants;
    std::vector<ip_endpoint> m_seeds;
    monotonic_time m_plannedAt;
    monotonic_time m_askedAt;

    uint64_t m_nextToken = 1;
    std::map<uint64_t, response_handler> m_proposals;
    std::optional<document_response> m_readAnswer;
    /// Where messages of a member last came from; a learner that just joined has no configuration yet.
    std::map<member_id, ip_endpoint> m_peersOfMembers;
    consensus_role m_loggedRole = consensus_role::Follower;
};

} // namespace bilberryyard
