#include <Trace/replay_control.h>

#include <Base/error_kind.h>
#include <Consensus/consensus_member_implementation.h>

namespace bilberryyard {

namespace {

    using namespace std::chrono_literals;

    constexpr uint64_t clusterId = 1;
    constexpr duration syncDelay = 10ms;
    // Small, so that restarts and lagging members have to use snapshots.
    constexpr uint64_t snapshotInterval = 64;
    constexpr uint64_t trailingEntries = 16;

} // namespace

replay_control::replay_control(trace_host host, cluster_configuration const& bootstrapMembers,
    std::string const& initialState, replay_network& network, outputs const& emit)
    : m_host(host)
    , m_network(network)
    , m_emit(emit)
    , m_identity { host.id.value }
{
    m_disk.snapshot = std::make_shared<log_snapshot const>(log_snapshot { 0, 0, bootstrapMembers, initialState });
}

bool replay_control::isLeader() const
{
    return std::visit(
        [](auto const& member) {
            if constexpr (std::is_same_v<std::decay_t<decltype(member)>, std::monostate>)
                return false;
            else
                return member.role() == consensus_role::Leader;
        },
        m_member);
}

bool replay_control::hasMember(member_id id) const
{
    return std::visit(
        [id](auto const& member) {
            if constexpr (std::is_same_v<std::decay_t<decltype(member)>, std::monostate>)
                return false;
            else
                return member.configuration().contains(id);
        },
        m_member);
}

template <typename Function>
void replay_control::withMember(Function&& function)
{
    std::visit(
        [&](auto& member) {
            if constexpr (!std::is_same_v<std::decay_t<decltype(member)>, std::monostate>)
                function(member);
        },
        m_member);
    performActions();
}

template <typename Member>
absl::Status replay_control::startAs()
{
    auto settings = consensus_settings::forDeployment();
    settings.snapshotInterval = snapshotInterval;
    settings.trailingEntries = trailingEntries;
    auto created = Member::create({ clusterId, m_identity }, settings,
        restored_state { m_disk.vote, m_disk.snapshot, m_disk.entries }, m_network.random(3), m_network.now());
    if (!created.ok())
        return created.status();
    m_member.template emplace<Member>(*std::move(created));
    return absl::OkStatus();
}

absl::Status replay_control::start()
{
    ++m_incarnation;
    m_suspended = false;
    m_state = configuration_state_machine();
    if (!m_disk.snapshot->data.empty()) {
        if (auto status = m_state.restore(m_disk.snapshot->data); !status.ok())
            return status;
    }
    if (m_network.options().isDisabled(replay_mechanism::LeaderLease))
        return startAs<consensus_member<policy_without_lease>>();
    if (m_network.options().isDisabled(replay_mechanism::LogSync))
        return startAs<consensus_member<policy_without_sync>>();
    return startAs<consensus_member<>>();
}

void replay_control::kill()
{
    ++m_incarnation;
    m_member.emplace<std::monostate>();
    m_inbox.clear();
    m_results.clear();
    for (auto const& [token, requestId] : std::exchange(m_proposals, {}))
        m_emit.retry(requestId, noMember);
}

void replay_control::loseDisk(member_id newIdentity)
{
    kill();
    m_identity = newIdentity;
    m_disk = {};
    m_disk.snapshot = std::make_shared<log_snapshot const>();
}

void replay_control::resume()
{
    m_suspended = false;
    for (auto& deferredEvent : std::exchange(m_inbox, {}))
        deferredEvent();
}

void replay_control::deliver(std::function<void()> event)
{
    if (isActive())
        event();
    else if (isRunning())
        m_inbox.push_back(std::move(event));
}

void replay_control::receive(consensus_message const& message)
{
    withMember([&](auto& member) { member.receive(message, m_network.now()); });
}

void replay_control::tick()
{
    withMember([&](auto& member) { member.tick(m_network.now()); });
}

void replay_control::propose(std::string const& requestId, configuration_command const& command)
{
    m_proposals[++m_nextToken] = requestId;
    withMember([&](auto& member) { member.propose(m_nextToken, command.encode(), m_network.now()); });
}

void replay_control::changeMembership(membership_change const& change)
{
    withMember([&](auto& member) { member.changeMembership(++m_nextToken, change, m_network.now()); });
}

void replay_control::read(uint64_t acceptedBefore)
{
    m_reads[++m_nextToken] = acceptedBefore;
    withMember([&](auto& member) { member.read(m_nextToken, m_network.now()); });
}

void replay_control::performActions()
{
    std::vector<consensus_action> actions;
    std::visit(
        [&](auto& member) {
            if constexpr (!std::is_same_v<std::decay_t<decltype(member)>, std::monostate>)
                actions = member.drainActions(m_network.now());
        },
        m_member);
    for (auto const& action : actions)
        std::visit([&](auto const& value) { perform(value); }, action);
    if (!actions.empty() && isRunning())
        performActions();
}

void replay_control::perform(send_message const& action) { m_emit.message(m_host, action.message); }

void replay_control::perform(persist_request const& action)
{
    m_network.queue().add(m_network.now() + syncDelay, [this, action, incarnation = m_incarnation] {
        if (incarnation != m_incarnation)
            return;
        write(action);
        deliver([this, sequence = action.sequence, incarnation] {
            if (incarnation == m_incarnation)
                withMember([&](auto& member) { member.persistCompleted(sequence, m_network.now()); });
        });
    });
}

void replay_control::write(persist_request const& request)
{
    if (request.snapshot) {
        m_disk.snapshot = request.snapshot;
        if (request.continuation == log_continuation::Restart)
            m_disk.entries.clear();
        std::erase_if(m_disk.entries, [&](log_entry const& entry) { return entry.index <= request.snapshot->index; });
    }
    if (request.vote)
        m_disk.vote = *request.vote;
    if (request.truncateFrom)
        std::erase_if(m_disk.entries, [&](log_entry const& entry) { return entry.index >= *request.truncateFrom; });
    m_disk.entries.insert(m_disk.entries.end(), request.entries.begin(), request.entries.end());
}

void replay_control::perform(apply_entries const& action)
{
    for (auto const& entry : action.entries) {
        if (entry.kind == entry_kind::Application)
            m_results[entry.index] = m_state.apply(entry.payload);
    }
    m_emit.applied(m_host);
}

void replay_control::perform(install_snapshot const& action)
{
    // A snapshot from the same cluster should always decode. Counting a failure makes a defect visible.
    if (!m_state.restore(action.snapshot->data).ok())
        ++m_network.outcome().refusedInputs;
    m_emit.applied(m_host);
}

void replay_control::perform(take_snapshot const& action)
{
    auto data = m_state.snapshot();
    std::visit(
        [&](auto& member) {
            if constexpr (!std::is_same_v<std::decay_t<decltype(member)>, std::monostate>)
                member.snapshotTaken(action.index, std::move(data), m_network.now()).IgnoreError();
        },
        m_member);
}

void replay_control::perform(proposal_result const& action)
{
    auto const found = m_proposals.find(action.token);
    if (found == m_proposals.end())
        return;
    auto const requestId = found->second;
    m_proposals.erase(found);
    if (action.outcome != proposal_outcome::Accepted)
        return m_emit.retry(requestId, action.leader);
    auto const result = m_results.find(action.index);
    if (result == m_results.end())
        return m_emit.retry(requestId, noMember);
    m_emit.response({ requestId, result->second });
}

void replay_control::perform(read_result const& action)
{
    auto const acceptedBefore = m_reads[action.token];
    m_reads.erase(action.token);
    if (action.status.ok())
        m_emit.read(m_state.current().revision, acceptedBefore);
}

void replay_control::perform(member_removed const&) { }

} // namespace bilberryyard
