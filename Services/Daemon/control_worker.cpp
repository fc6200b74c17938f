#include "control_worker.h"

#include <Base/error_kind.h>
#include <Configuration/configuration_writer.h>
#include <Consensus/storage_record.h>
#include <random>

namespace bilberryyard {

namespace {

    constexpr std::chrono::milliseconds receiveTimeout { 20 };
    // A proposal is completed right after its entry is applied, so older results are never looked up.
    constexpr size_t maximumStoredResults = 1024;

    std::map<host_id, ip_endpoint> peersOf(daemon_settings const& settings)
    {
        std::map<host_id, ip_endpoint> result;
        for (auto const& member : settings.controlMembers) {
            if (member.host != settings.host)
                result[member.host] = { member.peer.address, member.peer.port };
        }
        return result;
    }

    uint32_t deploymentOf(daemon_settings const& settings) { return static_cast<uint32_t>(settings.hashSeed()); }

} // namespace

absl::StatusOr<std::unique_ptr<control_worker>> control_worker::create(
    daemon_settings const& settings, metrics_registry& metrics)
{
    auto files = std::make_unique<posix_file_system>();
    auto storage = storage_type::create(*files, settings.dataFolder, {});
    if (!storage.ok())
        return storage.status();
    auto const& sockets = *settings.control;
    auto socket = message_socket::create({ sockets.peer.address, sockets.peer.port }, peersOf(settings));
    if (!socket.ok())
        return socket.status();
    auto publisher = configuration_publisher::create(
        { sockets.distribution.address, sockets.distribution.port }, deploymentOf(settings));
    if (!publisher.ok())
        return publisher.status();
    auto worker = std::unique_ptr<control_worker>(new control_worker(
        settings, metrics, std::move(files), *std::move(storage), *std::move(socket), *std::move(publisher)));
    auto const status = worker->m_storage.identity() ? worker->startMember() : worker->loadJoinToken();
    if (!status.ok())
        return status;
    worker->m_thread = std::make_unique<worker_thread>(
        "control", [self = worker.get()](std::stop_token const& token) { self->run(token); });
    return worker;
}

absl::Status control_worker::bootstrap(daemon_settings const& settings)
{
    posix_file_system files;
    auto storage = storage_type::create(files, settings.dataFolder, {});
    if (!storage.ok())
        return storage.status();
    std::vector<member_description> members;
    for (auto const& member : settings.controlMembers) {
        member_address const address { member.host, member.peer, member.distribution, 0 };
        members.push_back({ member_id { member.host.value }, member_role::Voter, address.toText() });
    }
    auto const configuration = cluster_configuration::create(std::move(members));
    if (!configuration.ok())
        return configuration.status();
    return storage->initialize({ settings.hashSeed() | 1, member_id { settings.host.value } }, *configuration);
}

control_worker::control_worker(daemon_settings const& settings, metrics_registry& metrics,
    std::unique_ptr<posix_file_system> files, storage_type storage, message_socket socket,
    configuration_publisher publisher)
    : m_settings(settings)
    , m_metrics(metrics)
    , m_codec(deploymentOf(settings))
    , m_files(std::move(files))
    , m_storage(std::move(storage))
    , m_socket(std::move(socket))
    , m_publisher(std::move(publisher))
{
}

absl::Status control_worker::startMember()
{
    std::random_device random;
    auto const seed = static_cast<uint64_t>(random()) << 32 | random();
    auto member = consensus_member<>::create(*m_storage.identity(), consensus_settings::forDeployment(),
        m_storage.releaseRestoredState(), seed, std::chrono::steady_clock::now());
    if (!member.ok())
        return member.status();
    m_member.emplace(*std::move(member));
    m_logger.emit(events::memberStarted,
        "member=" + std::to_string(m_member->identity().member.value)
            + " last_index=" + std::to_string(m_member->lastIndex()));
    return absl::OkStatus();
}

absl::Status control_worker::loadJoinToken()
{
    auto const path = m_settings.dataFolder + "/join-token";
    auto const content = m_files->read(path);
    if (content.ok() && content->size() == sizeof(m_joinToken)) {
        std::copy(content->begin(), content->end(), reinterpret_cast<char*>(&m_joinToken));
    } else {
        std::random_device random;
        // The lowest bit is set, because the token 0 stands for a bootstrap member.
        m_joinToken = static_cast<uint64_t>(random()) << 32 | random() | 1;
        std::string const bytes(reinterpret_cast<char const*>(&m_joinToken), sizeof(m_joinToken));
        if (auto status = replaceFile(*m_files, m_settings.dataFolder, "join-token", bytes); !status.ok())
            return status;
    }
    m_logger.emit(events::waitingToBeAdded, "host=" + std::to_string(m_settings.host.value));
    return absl::OkStatus();
}

void control_worker::run(std::stop_token const& stopToken)
{
    while (!stopToken.stop_requested())
        step();
}

void control_worker::step()
{
    while (auto const task = m_tasks.pop())
        (*task)(*this);
    auto const now = std::chrono::steady_clock::now();
    if (m_member) {
        m_member->tick(now);
        executeActions();
        sendJoinMessages(now);
    }
    reportHosts(now);
    m_publisher.setDataAge(m_member ? m_member->dataAge(now) : std::nullopt);
    m_publisher.step(std::chrono::milliseconds(0));
    receiveMessages(receiveTimeout);
}

void control_worker::receiveMessages(std::chrono::milliseconds timeout)
{
    auto bytes = m_socket.receive(timeout);
    while (bytes) {
        auto const message = m_codec.decode(*bytes);
        if (message.ok())
            std::visit([&](auto const& body) { handle(message->sender, body); }, message->body);
        else
            m_metrics.counter("control_messages_refused_total").add();
        if (m_member)
            executeActions();
        bytes = m_socket.receive(std::chrono::milliseconds(0));
    }
}

void control_worker::sendTo(host_id receiver, control_message::body_type body)
{
    if (!m_socket.send(receiver, m_codec.encode({ m_settings.host, std::move(body) })))
        m_metrics.counter("control_messages_unsent_total").add();
}

void control_worker::handle(host_id sender, consensus_message const& message)
{
    m_hostsOfMembers[message.sender] = sender;
    if (m_member)
        m_member->receive(message, std::chrono::steady_clock::now());
}

void control_worker::executeActions()
{
    // Executing an action can produce further actions.
    for (auto actions = m_member->drainActions(std::chrono::steady_clock::now()); !actions.empty();
         actions = m_member->drainActions(std::chrono::steady_clock::now())) {
        for (auto const& action : actions)
            std::visit([&](auto const& value) { perform(value); }, action);
    }
}

void control_worker::perform(send_message const& action)
{
    auto const receiver = action.message.receiver;
    if (auto const address = addressOf(receiver))
        return sendTo(address->host, action.message);
    // A learner that has just joined has no configuration yet, but must respond to the leader. Its response goes to the
    // host that the leader's last message came from.
    auto const lastSender = m_hostsOfMembers.find(receiver);
    if (lastSender != m_hostsOfMembers.end())
        sendTo(lastSender->second, action.message);
}

void control_worker::perform(persist_request const& action)
{
    // FIXME: The write blocks this thread. With a separate storage thread, a slow disk would not delay heartbeats.
    auto const status = m_storage.execute(action);
    auto const now = std::chrono::steady_clock::now();
    if (status.ok())
        return m_member->persistCompleted(action.sequence, now);
    m_logger.emit(events::storageFailed, messageOf(status));
    m_member->persistFailed(status, now);
}

void control_worker::perform(apply_entries const& action)
{
    for (auto const& entry : action.entries) {
        if (entry.kind == entry_kind::Configuration)
            updateReceivers();
        if (entry.kind != entry_kind::Application)
            continue;
        m_results[entry.index] = m_state.apply(entry.payload);
        if (m_results.size() > maximumStoredResults)
            m_results.erase(m_results.begin());
    }
    publishConfiguration();
}

void control_worker::perform(install_snapshot const& action)
{
    // The snapshot of a bootstrap member has no application state.
    if (!action.snapshot->data.empty()) {
        if (auto const status = m_state.restore(action.snapshot->data); !status.ok()) {
            m_logger.emit(events::storageFailed, messageOf(status));
            m_member->persistFailed(status, std::chrono::steady_clock::now());
            return;
        }
    }
    updateReceivers();
    publishConfiguration();
}

void control_worker::perform(take_snapshot const& action)
{
    m_member->snapshotTaken(action.index, m_state.snapshot(), std::chrono::steady_clock::now()).IgnoreError();
}

void control_worker::perform(proposal_result const& action)
{
    auto const change = m_membershipChanges.find(action.token);
    if (change != m_membershipChanges.end()) {
        auto const result = change->second;
        m_membershipChanges.erase(change);
        if (action.outcome == proposal_outcome::Accepted)
            result->set_value(true);
        else
            result->set_value(action.status);
        return;
    }
    if (action.outcome != proposal_outcome::Accepted)
        return completeProposal(action.token, action.status);
    auto const applied = m_results.find(action.index);
    if (applied == m_results.end())
        return completeProposal(action.token,
            makeError(error_kind::Unavailable,
                "the change was accepted, but its result is no longer stored; resend the request"));
    completeProposal(action.token, applied->second);
}

void control_worker::completeProposal(uint64_t token, absl::StatusOr<command_result> result)
{
    auto const proposal = m_proposals.find(token);
    if (proposal == m_proposals.end())
        return;
    proposal->second->set_value(std::move(result));
    m_proposals.erase(proposal);
}

void control_worker::perform(read_result const& action)
{
    auto const request = m_reads.find(action.token);
    if (request == m_reads.end())
        return;
    auto const consistency = action.status.ok() ? read_consistency::Current : read_consistency::Stale;
    request->second->set_value(reading(consistency, action.age.value_or(duration::max())));
    m_reads.erase(request);
}

void control_worker::perform(member_removed const&) { m_logger.emit(events::memberRemoved, ""); }

void control_worker::publishConfiguration()
{
    auto const current = m_state.current();
    if (current.revision > 0)
        m_publisher.publish(current.revision, writeConfiguration(*current.value));
}

configuration_reading control_worker::reading(read_consistency consistency, duration age) const
{
    auto const current = m_state.current();
    return { current.revision, current.value, consistency, age };
}

void control_worker::propose(configuration_command const& command, result_promise<command_result> const& result)
{
    if (!m_member) {
        result->set_value(notLeader());
        return;
    }
    auto const token = m_nextToken++;
    m_proposals[token] = result;
    m_member->propose(token, command.encode(), std::chrono::steady_clock::now());
    executeActions();
}

void control_worker::read(result_promise<configuration_reading> const& result)
{
    if (!m_member) {
        result->set_value(reading(read_consistency::Stale, duration::max()));
        return;
    }
    auto const token = m_nextToken++;
    m_reads[token] = result;
    m_member->read(token, std::chrono::steady_clock::now());
    executeActions();
}

audit_page control_worker::audit(audit_query const& query) const { return m_state.audit(query); }

bool control_worker::isLeader() const { return m_member && m_member->role() == consensus_role::Leader; }

void control_worker::transferLeadership()
{
    if (!isLeader())
        return;
    // The transfer fails when there is no other voter; the host stops regardless.
    m_member->transferLeadership(std::chrono::steady_clock::now()).IgnoreError();
    executeActions();
}

absl::Status control_worker::notLeader() const
{
    auto const leader = m_member ? addressOf(m_member->leader()) : std::nullopt;
    return makeError(error_kind::NotLeader,
        leader ? "the leader is host " + std::to_string(leader->host.value)
               : "the current leader is unknown to this host");
}

} // namespace bilberryyard
