#pragma once

#include "simulated_host.h"
#include <deque>
#include <functional>
#include <queue>
#include <set>

struct schedule_result {
    std::optional<std::string> violation;
    uint64_t traceHash = 0;
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

/// Hosts, network and time of one schedule. Everything follows from the seed. Times are nanoseconds.
template <typename Policy>
class cluster_simulation {
public:
    using host_type = simulated_host<Policy>;
    static constexpr int64_t millisecond = 1'000'000;

    /// @param founders Hosts that found the cluster; the others start without an identity.
    cluster_simulation(
        uint64_t seed, size_t hostCount, uint64_t appendBytes, tracing traces, size_t founders = SIZE_MAX)
        : random(seed)
        , m_tracing(traces)
    {
        std::vector<bilberryyard::member_description> members;
        founders = std::min(founders, hostCount);
        for (uint32_t i = 0; i < founders; ++i)
            members.push_back({ bilberryyard::member_id { i + 1 }, bilberryyard::member_role::Voter, {} });
        founding = bilberryyard::cluster_configuration::create(members).value();
        m_blocked.assign(hostCount * hostCount, false);
        for (size_t i = 0; i < hostCount; ++i) {
            auto& host = *hosts.emplace_back(std::make_unique<host_type>());
            host.number = i;
            host.appendBytes = appendBytes;
            host.clockOffset = static_cast<int64_t>(random.below(1'000'000'000'000));
            host.clockRate = 970 + static_cast<int64_t>(random.below(60));
            if (i >= founders)
                continue;
            require(host.initialize(bilberryyard::member_id { static_cast<uint32_t>(i + 1) }, founding), host);
            hostOf[host.id] = i;
            start(host);
        }
        nextMember = static_cast<uint32_t>(founders) + 1;
    }

    /// Runs events until a time or the first violation.
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

    void at(int64_t time, std::function<void()> action) { m_events.push({ time, ++m_order, std::move(action) }); }

    /// Runs an action on a host's running process, after its suspension; not at all when the process ends before.
    void onHost(host_type& host, int64_t time, std::function<void()> action)
    {
        at(time, [this, &host, process = host.process, action = std::move(action)] {
            if (!host.isRunning() || host.process != process)
                return;
            if (now < host.suspendedUntil) {
                onHost(host, host.suspendedUntil, action);
                return;
            }
            action();
            pump(host);
        });
    }

    void start(host_type& host)
    {
        trace(host, "starts");
        require(host.start(random.below(UINT64_MAX), now), host);
        if (host.isRunning())
            onHost(host, now, [] {});
    }

    void stop(host_type& host, bool losesPower)
    {
        trace(host, losesPower ? "loses power" : "process ends");
        host.stop();
        if (losesPower)
            host.files.losePower(random);
    }

    void propose(host_type& host, uint64_t request)
    {
        auto const token = ++m_tokens;
        auto payload
            = bilberryyard::byte_writer().u64(request).u64(token).text(std::string(random.below(60), 'x')).take();
        onHost(host, now + delay(), [this, &host, token, payload, request] {
            trace(host, "proposal " + std::to_string(token) + " of request " + std::to_string(request));
            requestOf[token] = request;
            host.member->propose(token, payload, host.localTime(now));
        });
    }

    void change(host_type& host, bilberryyard::membership_change const& change)
    {
        auto const token = ++m_tokens;
        checker.membershipProposed(token);
        if (change.kind == bilberryyard::membership_change_kind::Remove)
            m_removalRequests.insert(change.member);
        trace(host,
            "membership change " + std::to_string(static_cast<int>(change.kind)) + " of member "
                + std::to_string(change.member.value));
        host.member->changeMembership(token, change, host.localTime(now));
        pump(host);
    }

    void read(host_type& host)
    {
        onHost(host, now + delay(), [this, &host] { host.member->read(++m_tokens, host.localTime(now)); });
    }

    /// @return The running leader of the highest term, or null.
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

    int64_t delay()
    {
        if (random.chance(slowMessages))
            return static_cast<int64_t>(random.below(600)) * millisecond;
        return static_cast<int64_t>(100'000 + random.below(5 * millisecond));
    }

    void trace(host_type const& host, std::string const& what)
    {
        m_traceHash = bilberryyard::hashPair(m_traceHash, static_cast<uint64_t>(now) * 16 + host.number);
        if (m_tracing == tracing::Off)
            return;
        result.trace.push_back(std::to_string(now / 1000) + " us host " + std::to_string(host.number + 1) + " member "
            + std::to_string(host.id.value) + ": " + what);
        if (result.trace.size() > 80)
            result.trace.pop_front();
    }

    schedule_result finish()
    {
        if (!checker.violation())
            checker.finish();
        for (auto const& [token, answer] : checker.answers()) {
            result.accepted += answer.outcome == bilberryyard::proposal_outcome::Accepted;
            m_traceHash = bilberryyard::hashPair(m_traceHash, answer.index);
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
    /// Proposals to send again, because their outcome is not known or they were rejected.
    std::vector<uint64_t> unfinishedRequests;
    bilberryyard::cluster_configuration founding;
    uint32_t nextMember = 0;
    int64_t now = 0;
    // Network and disk conditions in percent.
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
            checker.violate(
                "host " + std::to_string(host.number + 1) + " cannot start: " + bilberryyard::messageOf(status));
    }

    /// Executes the member's actions until there are none.
    void pump(host_type& host)
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
            checker.leaderSeen(host.member->term(), host.id);
        auto const deadline = host.member->nextDeadline();
        if (deadline == bilberryyard::monotonic_time::max())
            return;
        auto const time = std::max(now, host.globalTime(deadline));
        if (time >= host.timerAt)
            return;
        host.timerAt = time;
        onHost(host, time, [this, &host] {
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
            deliver(host.number, *hosts[target->second], now + delay(), action.message);
    }

    void deliver(size_t from, host_type& host, int64_t time, bilberryyard::consensus_message const& message)
    {
        at(time, [this, from, &host, message] {
            if (!host.isRunning() || m_blocked[from * hosts.size() + host.number])
                return;
            onHost(host, now, [this, &host, message] { host.member->receive(message, host.localTime(now)); });
        });
    }

    void execute(host_type& host, bilberryyard::persist_request const& request)
    {
        auto const slow = random.chance(slowSyncs) ? random.below(80) * millisecond : 0;
        auto const time = now + static_cast<int64_t>(200'000 + random.below(3 * millisecond) + slow);
        onHost(host, time, [this, &host, request] {
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
            checker.applied(entry, before, host.state);
        }
        trace(host, "applied up to " + std::to_string(host.state.index));
    }

    void execute(host_type& host, bilberryyard::install_snapshot const& action)
    {
        host.state = applied_state::decode(action.snapshot->data);
        ++result.snapshotsInstalled;
        trace(host, "snapshot at " + std::to_string(host.state.index));
        if (host.state.index != action.snapshot->index)
            checker.violate("snapshot holds another state than its index says");
        checker.installed(host.state);
    }

    void execute(host_type& host, bilberryyard::take_snapshot const& action)
    {
        if (host.state.index != action.index)
            checker.violate("a snapshot was asked for at an entry that is not the last one applied");
        auto const status = host.member->snapshotTaken(action.index, host.state.encode(), host.localTime(now));
        if (!status.ok())
            checker.violate("snapshot was refused: " + bilberryyard::messageOf(status));
    }

    void execute(host_type& host, bilberryyard::proposal_result const& answer)
    {
        trace(host,
            "answer " + std::to_string(static_cast<int>(answer.outcome)) + " to proposal "
                + std::to_string(answer.token) + " at " + std::to_string(answer.index));
        checker.answered(answer);
        auto const request = requestOf.find(answer.token);
        if (request != requestOf.end() && answer.outcome != bilberryyard::proposal_outcome::Accepted)
            unfinishedRequests.push_back(request->second);
    }

    void execute(host_type& host, bilberryyard::read_result const& answer)
    {
        if (!answer.status.ok())
            return;
        ++result.reads;
        trace(host, "read at " + std::to_string(answer.index));
        checker.readServed(answer.index, checker.committedIndex());
    }

    void execute(host_type& host, bilberryyard::member_removed const&)
    {
        trace(host, "removed");
        if (!m_removalRequests.contains(host.id))
            checker.violate("member " + std::to_string(host.id.value) + " was removed without a request");
    }

    tracing m_tracing;
    std::set<bilberryyard::member_id> m_removalRequests;
    std::vector<bool> m_blocked;
    std::priority_queue<event> m_events;
    uint64_t m_order = 0;
    uint64_t m_tokens = 0;
    uint64_t m_traceHash = 0;
};
