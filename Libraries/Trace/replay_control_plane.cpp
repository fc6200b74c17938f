#include <Trace/replay_control_plane.h>
#include <Trace/trace_change.h>

#include <Base/error_kind.h>
#include <Coordination/coordinated_configuration_builder.h>

namespace bilberryyard {

namespace {

    using namespace std::chrono_literals;

    constexpr duration tickInterval = 20ms;
    constexpr duration readInterval = 100ms;
    constexpr duration pollInterval = 200ms;
    constexpr duration retryInterval = 200ms;
    constexpr duration redirectDelay = 10ms;
    constexpr duration replacementStepInterval = 500ms;
    constexpr uint32_t maximumAttempts = 100;

    absl::StatusOr<configuration_command> initialCommand(trace_header const& header)
    {
        auto change = readReplaceChange(header.configuration);
        if (!change.ok())
            return change.status();
        return configuration_command { "initial", 0, "replay", "first configuration", {}, *std::move(change) };
    }

} // namespace

absl::StatusOr<std::unique_ptr<replay_control_plane>> replay_control_plane::create(
    replay_network& network, std::vector<configuration_receiver> receivers)
{
    std::unique_ptr<replay_control_plane> result(new replay_control_plane(network, std::move(receivers)));
    if (auto status = result->bootstrap(); !status.ok())
        return status;
    return result;
}

replay_control_plane::replay_control_plane(replay_network& network, std::vector<configuration_receiver> receivers)
    : m_network(network)
    , m_receivers(std::move(receivers))
{
    m_outputs.message = [this](trace_host sender, consensus_message const& message) {
        auto* receiver = controlOf(message.receiver);
        if (!receiver)
            return;
        m_network.send(sender, receiver->host(), [this, message] {
            if (auto* control = controlOf(message.receiver))
                control->deliver([control, message] { control->receive(message); });
        });
    };
    m_outputs.response = [this](change_response const& response) { handleResponse(response); };
    m_outputs.retry = [this](std::string const& requestId, member_id leader) { retry(requestId, leader); };
    m_outputs.read = [this](uint64_t revision, uint64_t acceptedBefore) {
        m_network.outcome().staleReads += revision < acceptedBefore ? 1 : 0;
    };
    m_outputs.applied = [](trace_host) {};
}

absl::Status replay_control_plane::bootstrap()
{
    configuration_state_machine state;
    auto const command = initialCommand(m_network.header());
    if (!command.ok())
        return command.status();
    if (auto status = state.apply(command->encode()).toStatus(); !status.ok())
        return status;
    m_initial = coordinatedConfigurationOf(state.current().revision, *state.current().value);
    std::vector<member_description> members;
    for (auto const& host : m_network.header().controlHosts)
        members.push_back({ member_id { host.id.value }, member_role::Voter, {} });
    if (members.empty())
        return absl::OkStatus();
    auto bootstrapMembers = cluster_configuration::create(members);
    if (!bootstrapMembers.ok())
        return bootstrapMembers.status();
    for (auto const& host : m_network.header().controlHosts) {
        m_controls.push_back(
            std::make_unique<replay_control>(host, *bootstrapMembers, state.snapshot(), m_network, m_outputs));
        if (auto status = m_controls.back()->start(); !status.ok())
            return status;
    }
    tickAll();
    readAll();
    pollAll(0);
    return absl::OkStatus();
}

absl::StatusOr<bool> replay_control_plane::apply(host_event const& event)
{
    auto* control = controlOf(event.host);
    if (!control)
        return false;
    switch (event.kind) {
    case host_event_kind::Start:
        if (auto status = control->start(); !status.ok())
            return status;
        break;
    case host_event_kind::Stop:
    case host_event_kind::Kill:
        control->kill();
        break;
    case host_event_kind::Suspend:
        control->suspend();
        break;
    case host_event_kind::Resume:
        control->resume();
        break;
    case host_event_kind::LoseDisk: {
        auto const lost = control->member();
        member_id const replacement { m_nextMemberId++ };
        control->loseDisk(replacement);
        if (auto status = control->start(); !status.ok())
            return status;
        replaceMember(lost, replacement);
        break;
    }
    }
    return true;
}

void replay_control_plane::replaceMember(member_id lost, member_id replacement)
{
    auto* current = leader();
    if (current) {
        auto const isMember = [&](member_id id) { return current->hasMember(id); };
        if (isMember(lost))
            current->changeMembership({ membership_change_kind::Remove, lost, {} });
        else if (!isMember(replacement))
            current->changeMembership({ membership_change_kind::AddLearner, replacement, "replay" });
        else
            return;
    }
    m_network.queue().add(
        m_network.now() + replacementStepInterval, [this, lost, replacement] { replaceMember(lost, replacement); });
}

replay_control* replay_control_plane::controlOf(host_id host)
{
    for (auto const& control : m_controls) {
        if (control->host().id == host)
            return control.get();
    }
    return nullptr;
}

replay_control* replay_control_plane::controlOf(member_id member)
{
    for (auto const& control : m_controls) {
        if (control->member() == member)
            return control.get();
    }
    return nullptr;
}

replay_control* replay_control_plane::leader()
{
    for (auto const& control : m_controls) {
        if (control->isActive() && control->isLeader())
            return control.get();
    }
    return nullptr;
}

void replay_control_plane::tickAll()
{
    for (auto const& control : m_controls) {
        if (control->isActive())
            control->tick();
    }
    auto const now = m_network.now();
    if (leader()) {
        if (m_leaderSeenAt)
            m_network.outcome().longestWithoutLeader
                = std::max(m_network.outcome().longestWithoutLeader, now - *m_leaderSeenAt);
        m_leaderSeenAt = now;
    }
    measureChanges();
    m_network.queue().add(now + tickInterval, [this] { tickAll(); });
}

void replay_control_plane::readAll()
{
    for (auto const& control : m_controls) {
        if (control->isActive())
            control->read(m_highestAccepted);
    }
    m_network.queue().add(m_network.now() + readInterval, [this] { readAll(); });
}

void replay_control_plane::pollAll(size_t round)
{
    for (size_t index = 0; index < m_receivers.size(); ++index) {
        if (m_receivers[index].isActive())
            poll(m_receivers[index], *m_controls[(round + index) % m_controls.size()]);
    }
    m_network.queue().add(m_network.now() + pollInterval, [this, round] { pollAll(round + 1); });
}

void replay_control_plane::poll(configuration_receiver const& receiver, replay_control& control)
{
    bool const ignoresOrder = m_network.options().isDisabled(replay_mechanism::RevisionOrder);
    m_network.send(
        receiver.host, control.host(), [this, &receiver, &control, knownRevision = receiver.revision(), ignoresOrder] {
            control.deliver([this, &receiver, &control, knownRevision, ignoresOrder] {
                auto const current = control.state().current();
                // A member that has no configuration yet does not send one.
                if (!current.value || (current.revision <= knownRevision && !ignoresOrder))
                    return;
                auto configuration = coordinatedConfigurationOf(current.revision, *current.value);
                m_network.send(control.host(), receiver.host, [&receiver, configuration = std::move(configuration)] {
                    receiver.deliver(
                        [&receiver, configuration] { receiver.configure(configuration.revision, configuration); });
                });
            });
        });
}

void replay_control_plane::submit(change_input const& change)
{
    auto& request = m_requests.try_emplace(change.requestId, operator_request { change, 0, {} }).first->second;
    // A change that the operator resends gets at least half of the attempts again.
    request.attempts = std::min(request.attempts, maximumAttempts / 2);
    size_t position = 0;
    while (position < m_controls.size() && m_controls[position]->host().id != change.host)
        ++position;
    attempt(change.requestId, position);
}

void replay_control_plane::attempt(std::string const& requestId, size_t position)
{
    auto& request = m_requests.at(requestId);
    if (m_controls.empty() || ++request.attempts > maximumAttempts)
        return;
    auto& control = *m_controls[position % m_controls.size()];
    if (!control.isActive())
        return retry(requestId, noMember);
    auto const& change = request.change;
    auto replacement = readReplaceChange(change.yaml);
    if (!replacement.ok()) {
        ++m_network.outcome().refusedInputs;
        return;
    }
    configuration_command command { change.requestId, change.baseRevision, change.author, change.reason, {},
        *std::move(replacement) };
    if (m_network.options().isDisabled(replay_mechanism::RequestTable))
        command.requestId += "-" + std::to_string(request.attempts);
    if (m_network.options().isDisabled(replay_mechanism::BaseCheck))
        command.baseRevision = control.state().current().revision;
    control.propose(requestId, command);
}

void replay_control_plane::retry(std::string const& requestId, member_id leader)
{
    auto const leaderControl = std::find_if(m_controls.begin(), m_controls.end(),
        [&](auto const& control) { return leader != noMember && control->member() == leader; });
    bool const isKnown = leaderControl != m_controls.end();
    auto const position = static_cast<size_t>(leaderControl - m_controls.begin());
    m_network.queue().add(
        m_network.now() + (isKnown ? redirectDelay : retryInterval), [this, requestId, isKnown, position] {
            auto const& request = m_requests.at(requestId);
            // The operator stops resending once a response has arrived. Without a known leader, each attempt goes to
            // the next control host.
            if (!request.response)
                attempt(requestId, isKnown ? position : request.attempts);
        });
}

void replay_control_plane::handleResponse(change_response const& response)
{
    auto& request = m_requests.at(response.requestId);
    auto& outcome = m_network.outcome();
    if (request.response) {
        outcome.wrongChangeResponses += *request.response == response.result ? 0 : 1;
        return;
    }
    request.response = response.result;
    if (!response.result.isAccepted()) {
        ++outcome.changesRefused;
        return;
    }
    ++outcome.changesAccepted;
    m_highestAccepted = std::max(m_highestAccepted, response.result.revision);
    m_pendingRevisions.emplace(response.result.revision, m_network.now());
}

bool replay_control_plane::isInForce(uint64_t revision) const
{
    return std::all_of(m_receivers.begin(), m_receivers.end(), [&](configuration_receiver const& receiver) {
        // A host that does not run, is suspended or is partitioned from the first host cannot receive the revision, so
        // it is left out until it can.
        bool const isRequired = receiver.isActive() && m_network.connects(receiver.host.zone, m_receivers[0].host.zone);
        return !isRequired || receiver.revision() >= revision;
    });
}

void replay_control_plane::measureChanges()
{
    while (!m_pendingRevisions.empty() && isInForce(m_pendingRevisions.begin()->first)) {
        auto& slowest = m_network.outcome().slowestChange;
        slowest = std::max(slowest, m_network.now() - m_pendingRevisions.begin()->second);
        m_pendingRevisions.erase(m_pendingRevisions.begin());
    }
}

void replay_control_plane::finish()
{
    auto& outcome = m_network.outcome();
    if (!m_pendingRevisions.empty())
        outcome.slowestChange = m_network.header().length;
    uint64_t accepted = 0;
    auto* current = leader();
    for (auto const& [requestId, request] : m_requests) {
        if (!request.response) {
            ++outcome.changesWithoutResponse;
            continue;
        }
        if (!request.response->isAccepted())
            continue;
        ++accepted;
        auto const* storedResult = current ? current->state().findResult(requestId) : nullptr;
        bool const isStored = storedResult && *storedResult == *request.response;
        // With the request table disabled, each attempt is stored under an identifier of its own.
        if (!isStored && !m_network.options().isDisabled(replay_mechanism::RequestTable))
            ++outcome.changesLost;
    }
    // The initial configuration has revision 1, and each accepted change adds one. Changes without a response may have
    // been applied, too.
    if (current && current->state().current().revision > accepted + 1 + outcome.changesWithoutResponse)
        outcome.changesRepeated = current->state().current().revision - accepted - 1;
}

} // namespace bilberryyard
