#pragma once

#include "simulated_host.h"
#include <deque>
#include <functional>
#include <queue>
#include <set>

/// Outcome and counters of one simulated schedule.
struct schedule_result {
    /// The first violated check.
    std::optional<std::string> violation;
    /// Hash over time and host of all traced events and over the proposal results.
    uint64_t traceHash = 0;
    /// The last 80 events; only with tracing::On.
    std::deque<std::string> trace;
    uint64_t accepted = 0;
    uint64_t reads = 0;
    uint64_t diskLosses = 0;
    uint64_t replacements = 0;
    uint64_t snapshotsInstalled = 0;
    uint64_t storageErrors = 0;
};

enum class tracing : uint8_t {
    Off,
    On,
};

/// Simulates the hosts, network and time of one schedule, deterministically for a seed. Times are in nanoseconds since
/// the start of the simulation.
template <typename Policy>
class cluster_simulation {
public:
    using host_type = simulated_host<Policy>;
    static constexpr int64_t millisecond = 1'000'000;

    /// @param appendBytes consensus_settings::maximumAppendBytes of all hosts.
    /// @param bootstrapHostCount Number of hosts that bootstrap the cluster; the others start without an identity.
    cluster_simulation(
        uint64_t seed, size_t hostCount, uint64_t appendBytes, tracing traces, size_t bootstrapHostCount = SIZE_MAX)
        : random(seed)
        , m_tracing(traces)
    {
        std::vector<bilberryyard::member_description> members;
        bootstrapHostCount = std::min(bootstrapHostCount, hostCount);
        for (uint32_t i = 0; i < bootstrapHostCount; ++i)
            members.push_back({ bilberryyard::member_id { i + 1 }, bilberryyard::member_role::Voter, {} });
        bootstrapConfiguration = bilberryyard::cluster_configuration::create(members).value();
        m_blocked.assign(hostCount * hostCount, false);
        for (size_t i = 0; i < hostCount; ++i) {
            auto& host = *hosts.emplace_back(std::make_unique<host_type>());
            host.hostIndex = i;
            host.appendBytes = appendBytes;
            host.clockOffset = static_cast<int64_t>(random.below(1'000'000'000'000));
            host.clockRate = 970 + static_cast<int64_t>(random.below(60));
            if (i >= bootstrapHostCount)
                continue;
            require(host.initialize(bilberryyard::member_id { static_cast<uint32_t>(i + 1) }, bootstrapConfiguration),
                host);
            hostOf[host.id] = i;
            start(host);
        }
        nextMember = static_cast<uint32_t>(bootstrapHostCount) + 1;
    }

    /// Runs events until the simulated time `end` or the first violation.
    void runUntil(int64_t end)
    {
        while (!checker.violation() && !m_events.empty() && m_events.top().time <= end) {
            auto next = m_events.top();
            m_events.pop();
            now = std::max(now, next.time);
            next.action();
        }
        now = std::max(now, end);
    }

    void scheduleAt(int64_t time, std::function<void()> action)
    {
        m_events.push({ time, ++m_eventCount, std::move(action) });
    }

    /// Runs an action on the current incarnation of a host, delayed until its suspension ends. The action is dropped if
    /// the incarnation is stopped before.
    void scheduleOnHost(host_type& host, int64_t time, std::function<void()> action)
    {
        scheduleAt(time, [this, &host, incarnation = host.incarnation, action = std::move(action)] {
            if (!host.isRunning() || host.incarnation != incarnation)
                return;
            if (now < host.suspendedUntil) {
                scheduleOnHost(host, host.suspendedUntil, action);
                return;
            }
            action();
            executeActions(host);
        });
    }

    void start(host_type& host)
    {
        trace(host, "starts");
        require(host.start(random.below(UINT64_MAX), now), host);
        // The empty action makes executeActions() run and schedule the first timer.
        if (host.isRunning())
            scheduleOnHost(host, now, [] {});
    }

    void stop(host_type& host, bool losesPower)
    {
        trace(host, losesPower ? "loses power" : "process is stopped");
        host.stop();
        if (losesPower)
            host.files.losePower(random);
    }

    void propose(host_type& host, uint64_t request)
    {
        auto const token = ++m_tokens;
        auto payload
            = bilberryyard::byte_writer().u64(request).u64(token).text(std::string(random.below(60), 'x')).release();
        scheduleOnHost(host, now + randomMessageDelay(), [this, &host, token, payload, request] {
            trace(host, "proposal " + std::to_string(token) + " of request " + std::to_string(request));
            requestOf[token] = request;
            host.member->propose(token, payload, host.localTime(now));
        });
    }

    void change(host_type& host, bilberryyard::membership_change const& change)
    {
        auto const token = ++m_tokens;
        checker.recordMembershipProposal(token);
        if (change.kind == bilberryyard::membership_change_kind::Remove)
            m_removalRequests.insert(change.member);
        trace(host,
            "membership change " + std::to_string(static_cast<int>(change.kind)) + " of member "
                + std::to_string(change.member.value));
        host.member->changeMembership(token, change, host.localTime(now));
        executeActions(host);
    }

    void read(host_type& host)
    {
        scheduleOnHost(
            host, now + randomMessageDelay(), [this, &host] { host.member->read(++m_tokens, host.localTime(now)); });
    }

    /// @return The running leader with the highest term, or null.
    host_type* leader()
    {
        host_type* best = nullptr;
        for (auto const& host : hosts) {
            if (host->isRunning() && host->member->role() == bilberryyard::consensus_role::Leader
                && now >= host->suspendedUntil && (!best || host->member->term() > best->member->term()))
                best = host.get();
        }
        return best;
    }

    void block(size_t from, size_t to, bool blocked) { m_blocked[from * hosts.size() + to] = blocked; }
    bool isBlocked(size_t from, size_t to) const { return m_blocked[from * hosts.size() + to]; }
    void heal() { std::fill(m_blocked.begin(), m_blocked.end(), false); }

    int64_t randomMessageDelay()
    {
        if (random.chance(slowMessages))
            return static_cast<int64_t>(random.below(600)) * millisecond;
        return static_cast<int64_t>(100'000 + random.below(5 * millisecond));
    }

    void trace(host_type const& host, std::string const& what)
    {
        m_traceHash = bilberryyard::hashPair(m_traceHash, static_cast<uint64_t>(now) * 16 + host.hostIndex);
        if (m_tracing == tracing::Off)
            return;
        result.trace.push_back(std::to_string(now / 1000) + " us host " + std::to_string(host.hostIndex + 1)
            + " member " + std::to_string(host.id.value) + ": " + what);
        if (result.trace.size() > 80)
            result.trace.pop_front();
    }

    schedule_result finish()
    {
        if (!checker.violation())
            checker.finish();
        for (auto const& [token, proposalResult] : checker.results()) {
            result.accepted += proposalResult.outcome == bilberryyard::proposal_outcome::Accepted;
            m_traceHash = bilberryyard::hashPair(m_traceHash, proposalResult.index);
        }
        result.violation = checker.violation();
        result.traceHash = m_traceHash;
        return std::move(result);
    }

    seeded_random random;
    schedule_checker checker;
    schedule_result result;
    std::vector<std::unique_ptr<host_type>> hosts;
    std::map<bilberryyard::member_id, size_t> hostOf;
    std::map<uint64_t, uint64_t> requestOf;
    /// Requests to propose again, because their proposals were rejected or have an unknown outcome.
    std::vector<uint64_t> unfinishedRequests;
    bilberryyard::cluster_configuration bootstrapConfiguration;
    uint32_t nextMember = 0;
    int64_t now = 0;
    // Probabilities of network and disk faults, in percent.
    uint64_t lostMessages = 0;
    uint64_t duplicatedMessages = 0;
    uint64_t slowMessages = 0;
    uint64_t slowSyncs = 0;
    uint64_t storageFailures = 0;

private:
    struct event {
        int64_t time;
        uint64_t order;
        std::function<void()> action;
        bool operator<(event const& other) const { return std::pair(time, order) > std::pair(other.time, other.order); }
    };

    void require(absl::Status const& status, host_type const& host)
    {
        if (!status.ok())
            checker.recordViolation("host " + std::to_string(host.hostIndex + 1)
                + " cannot be initialised or started: " + bilberryyard::messageOf(status));
    }

    /// Executes the member's actions until there are none, and schedules its next timer.
    void executeActions(host_type& host)
    {
        while (host.isRunning() && !checker.violation()) {
            auto const actions = host.member->drainActions(host.localTime(now));
            if (actions.empty())
                break;
            for (auto const& action : actions)
                std::visit([&](auto const& body) { execute(host, body); }, action);
        }
        if (!host.isRunning())
            return;
        if (host.member->role() == bilberryyard::consensus_role::Leader)
            checker.recordLeader(host.member->term(), host.id);
        auto const deadline = host.member->nextDeadline();
        if (deadline == bilberryyard::monotonic_time::max())
            return;
        auto const time = std::max(now, host.globalTime(deadline));
        if (time >= host.timerAt)
            return;
        host.timerAt = time;
        scheduleOnHost(host, time, [this, &host] {
            host.timerAt = INT64_MAX;
            host.member->tick(host.localTime(now));
        });
    }

    void execute(host_type& host, bilberryyard::send_message const& action)
    {
        auto const target = hostOf.find(action.message.receiver);
        if (target == hostOf.end() || random.chance(lostMessages))
            return;
        auto const copies = random.chance(duplicatedMessages) ? 2 : 1;
        for (auto i = 0; i < copies; ++i)
            deliver(host.hostIndex, *hosts[target->second], now + randomMessageDelay(), action.message);
    }

    void deliver(size_t from, host_type& host, int64_t time, bilberryyard::consensus_message const& message)
    {
        scheduleAt(time, [this, from, &host, message] {
            if (!host.isRunning() || m_blocked[from * hosts.size() + host.hostIndex])
                return;
            scheduleOnHost(host, now, [this, &host, message] { host.member->receive(message, host.localTime(now)); });
        });
    }

    void execute(host_type& host, bilberryyard::persist_request const& request)
    {
        auto const slow = random.chance(slowSyncs) ? random.below(80) * millisecond : 0;
        auto const time = now + static_cast<int64_t>(200'000 + random.below(3 * millisecond) + slow);
        scheduleOnHost(host, time, [this, &host, request] {
            auto const fails = random.chance(storageFailures);
            if (fails)
                host.files.failAfter(random.below(8));
            auto const status = host.storage->execute(request);
            host.files.recover();
            if (status.ok()) {
                host.member->persistCompleted(request.sequence, host.localTime(now));
                return;
            }
            ++result.storageErrors;
            trace(host, "storage: " + bilberryyard::messageOf(status));
            host.member->persistFailed(status, host.localTime(now));
        });
    }

    void execute(host_type& host, bilberryyard::apply_entries const& action)
    {
        for (auto const& entry : action.entries) {
            auto const before = host.state.index;
            host.state.apply(entry);
            checker.recordApplied(entry, before, host.state);
        }
        trace(host, "applied up to " + std::to_string(host.state.index));
    }

    void execute(host_type& host, bilberryyard::install_snapshot const& action)
    {
        host.state = applied_state::decode(action.snapshot->data);
        ++result.snapshotsInstalled;
        trace(host, "snapshot at " + std::to_string(host.state.index));
        if (host.state.index != action.snapshot->index)
            checker.recordViolation("the index of a snapshot differs from the index of its state");
        checker.recordInstalled(host.state);
    }

    void execute(host_type& host, bilberryyard::take_snapshot const& action)
    {
        if (host.state.index != action.index)
            checker.recordViolation("a snapshot was requested at an entry that is not the last applied one");
        auto const status = host.member->snapshotTaken(action.index, host.state.encode(), host.localTime(now));
        if (!status.ok())
            checker.recordViolation("a requested snapshot was rejected: " + bilberryyard::messageOf(status));
    }

    void execute(host_type& host, bilberryyard::proposal_result const& proposalResult)
    {
        trace(host,
            "outcome " + std::to_string(static_cast<int>(proposalResult.outcome)) + " of proposal "
                + std::to_string(proposalResult.token) + " at " + std::to_string(proposalResult.index));
        checker.recordResult(proposalResult);
        auto const request = requestOf.find(proposalResult.token);
        if (request != requestOf.end() && proposalResult.outcome != bilberryyard::proposal_outcome::Accepted)
            unfinishedRequests.push_back(request->second);
    }

    void execute(host_type& host, bilberryyard::read_result const& readResult)
    {
        if (!readResult.status.ok())
            return;
        ++result.reads;
        trace(host, "read at " + std::to_string(readResult.index));
        checker.recordRead(readResult.index, checker.committedIndex());
    }

    void execute(host_type& host, bilberryyard::member_removed const&)
    {
        trace(host, "removed");
        if (!m_removalRequests.contains(host.id))
            checker.recordViolation("member " + std::to_string(host.id.value) + " was removed without a request");
    }

    tracing m_tracing;
    std::set<bilberryyard::member_id> m_removalRequests;
    std::vector<bool> m_blocked;
    std::priority_queue<event> m_events;
    uint64_t m_eventCount = 0;
    uint64_t m_tokens = 0;
    uint64_t m_traceHash = 0;
};
