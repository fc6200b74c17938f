#pragma once

#include "cluster_simulation.h"

/// Simulates the faults, the callers and the operator of one schedule.
template <typename Policy>
class schedule_runner {
public:
    schedule_runner(uint64_t seed, tracing traces)
        : m_cluster(seed, seed % 2 == 0 ? 3 : 5, isChurn(seed) ? 1 : 300, traces)
        , m_churn(isChurn(seed))
        , m_hasFewProposals(hasFewProposals(seed))
        , m_faultInterval(100 + random().below(900))
    {
    }

    /// @return Whether a seed mainly ends leaderships shortly after the election.
    static bool isChurn(uint64_t seed) { return seed % 8 == 5; }

    /// @return Whether a seed has few proposals.
    static bool hasFewProposals(uint64_t seed) { return seed % 8 == 6; }

    schedule_result run()
    {
        if (m_churn) {
            m_cluster.lostMessages = 30;
            scheduleChurn();
        } else {
            scheduleFault();
        }
        scheduleRequests();
        scheduleOperator();
        m_cluster.runUntil(faultPhaseEnd);
        waitForRecovery();
        return m_cluster.finish();
    }

private:
    using host_type = simulated_host<Policy>;
    static constexpr int64_t millisecond = cluster_simulation<Policy>::millisecond;
    static constexpr int64_t faultPhaseEnd = 8000 * millisecond;
    static constexpr int64_t recoveryTimeout = 20000 * millisecond;

    seeded_random& random() { return m_cluster.random; }
    host_type& randomHost() { return *m_cluster.hosts[random().below(m_cluster.hosts.size())]; }

    int64_t randomTimeWithin(uint64_t milliseconds)
    {
        return m_cluster.now + static_cast<int64_t>(random().below(milliseconds) + 1) * millisecond;
    }

    void scheduleFault()
    {
        // Some seeds have a longer interval between faults, so that the members make more progress.
        m_cluster.scheduleAt(randomTimeWithin(m_faultInterval), [this] {
            if (m_cluster.now >= faultPhaseEnd)
                return;
            injectFault();
            scheduleFault();
        });
    }

    void injectFault()
    {
        auto& host = randomHost();
        switch (random().below(14)) {
        case 0:
        case 1:
            crash(host, random().chance(70));
            break;
        case 2:
            if (auto* leader = m_cluster.leader())
                crash(*leader, random().chance(70));
            break;
        case 3:
            partition();
            break;
        case 4:
            if (m_cluster.leader() && random().chance(70))
                cutLink(m_cluster.leader()->hostIndex, host.hostIndex);
            else
                cutLinks();
            break;
        case 5:
            isolate(random().chance(50) && m_cluster.leader() ? *m_cluster.leader() : host);
            break;
        case 6:
        case 7:
            m_cluster.heal();
            break;
        case 8:
            suspend(random().chance(50) && m_cluster.leader() ? *m_cluster.leader() : host);
            break;
        case 9:
            loseDisk(host);
            break;
        case 10:
            changeConditions();
            break;
        case 11:
            if (host.isRunning() && mayReplace(host))
                host.isBeingReplaced = true;
            break;
        case 12:
            if (auto* leader = m_cluster.leader())
                transfer(*leader);
            break;
        default:
            restartAll();
        }
    }

    void crash(host_type& host, bool losesPower)
    {
        if (!host.isRunning())
            return;
        m_cluster.stop(host, losesPower);
        m_cluster.scheduleAt(randomTimeWithin(600), [this, &host] { restart(host); });
    }

    /// Ends leaderships shortly after the election, when their entries have reached few members. These entries must
    /// neither commit too early nor block others.
    void scheduleChurn()
    {
        m_cluster.scheduleAt(randomTimeWithin(20), [this] {
            if (m_cluster.now >= faultPhaseEnd)
                return;
            auto* leader = m_cluster.leader();
            if (leader && random().chance(50))
                crash(*leader, random().chance(50));
            else if (random().chance(20))
                cutLinks();
            else if (random().chance(10))
                m_cluster.heal();
            scheduleChurn();
        });
    }

    void cutLink(size_t first, size_t second)
    {
        m_cluster.block(first, second, true);
        m_cluster.block(second, first, true);
    }

    void cutLinks()
    {
        auto const count = m_cluster.hosts.size();
        auto const percent = random().below(50);
        for (size_t link = 0; link < count * count; ++link)
            m_cluster.block(link / count, link % count, random().chance(percent));
    }

    void restart(host_type& host)
    {
        if (!host.isRunning() && !host.diskIsLost)
            m_cluster.start(host);
    }

    void restartAll()
    {
        for (auto const& host : m_cluster.hosts)
            restart(*host);
    }

    void partition()
    {
        auto const oneWay = random().chance(40);
        auto const count = m_cluster.hosts.size();
        auto const sideMask = random().below(uint64_t { 1 } << count);
        for (size_t from = 0; from < count; ++from) {
            for (size_t to = 0; to < count; ++to) {
                auto const fromSide = (sideMask >> from) & 1;
                auto const toSide = (sideMask >> to) & 1;
                m_cluster.block(from, to, fromSide != toSide && (!oneWay || fromSide == 1));
            }
        }
    }

    /// Blocks the links of one host, in both directions or in one.
    void isolate(host_type& host)
    {
        auto const direction = random().below(3);
        for (size_t other = 0; other < m_cluster.hosts.size(); ++other) {
            m_cluster.block(host.hostIndex, other, direction != 0);
            m_cluster.block(other, host.hostIndex, direction != 1);
        }
    }

    void suspend(host_type& host)
    {
        m_cluster.trace(host, "suspended");
        host.suspendedUntil = randomTimeWithin(1500);
    }

    void changeConditions()
    {
        m_cluster.lostMessages = random().chance(50) ? random().below(20) : 0;
        m_cluster.duplicatedMessages = random().below(15);
        m_cluster.slowMessages = random().chance(50) ? random().below(20) : 0;
        m_cluster.slowSyncs = random().below(20);
        m_cluster.storageFailures = random().chance(50) ? 1 + random().below(5) : 0;
    }

    void transfer(host_type& leader)
    {
        m_cluster.trace(leader, "transfers leadership");
        static_cast<void>(leader.member->transferLeadership(leader.localTime(m_cluster.now)));
        // The empty action makes the simulation execute the actions of the transfer.
        m_cluster.scheduleOnHost(leader, m_cluster.now, [] {});
    }

    /// At most a minority of the bootstrap members is replaced at a time, because no protocol preserves accepted
    /// changes if a majority loses its disks.
    bool mayReplace(host_type const& host)
    {
        size_t replaced = 0;
        for (auto const& other : m_cluster.hosts)
            replaced += other->isBeingReplaced;
        return !host.isBeingReplaced && replaced < (m_cluster.hosts.size() - 1) / 2;
    }

    void loseDisk(host_type& host)
    {
        if (!mayReplace(host))
            return;
        if (host.isRunning())
            m_cluster.stop(host, true);
        m_cluster.trace(host, "loses its disk");
        ++m_cluster.result.diskLosses;
        host.files.loseDisk();
        // Without rejoinsAsLearner, the member returns under its former identifier as a bootstrap voter.
        if (!Policy::rejoinsAsLearner && m_cluster.bootstrapConfiguration.contains(host.id)) {
            if (host.initialize(host.id, m_cluster.bootstrapConfiguration).ok())
                m_cluster.start(host);
            return;
        }
        host.diskIsLost = true;
        host.isBeingReplaced = true;
    }

    void scheduleRequests()
    {
        m_cluster.scheduleAt(randomTimeWithin(40), [this] {
            if (m_cluster.now < faultPhaseEnd)
                sendRequests();
            scheduleRequests();
        });
    }

    void sendRequests()
    {
        auto* leader = m_cluster.leader();
        auto& target = leader && random().chance(70) ? *leader : randomHost();
        if (random().chance(40)) {
            for (auto const& host : m_cluster.hosts)
                m_cluster.read(*host);
        }
        // A member that is partitioned only from the leader lacks its new entries, so it can win an election only while
        // few entries are proposed.
        if (m_hasFewProposals && random().chance(97))
            return;
        auto& unfinished = m_cluster.unfinishedRequests;
        if (!unfinished.empty() && random().chance(50)) {
            m_cluster.propose(target, unfinished.back());
            unfinished.pop_back();
            return;
        }
        auto const request = ++m_requests;
        if (random().chance(10)) {
            for (auto const& host : m_cluster.hosts)
                m_cluster.propose(*host, request);
            return;
        }
        for (auto burst = random().chance(15) ? random().below(12) : 1; burst > 0; --burst)
            m_cluster.propose(target, request);
    }

    void scheduleOperator()
    {
        m_cluster.scheduleAt(randomTimeWithin(300), [this] {
            if (auto* leader = m_cluster.leader()) {
                for (auto const& host : m_cluster.hosts) {
                    if (host->isBeingReplaced && leader->isRunning())
                        replace(*host, *leader);
                }
            }
            scheduleOperator();
        });
    }

    /// Performs the operator's next step of a replacement: remove the old member, add a learner, start it, wait until
    /// it is a voter.
    void replace(host_type& host, host_type& leader)
    {
        using bilberryyard::membership_change_kind;
        auto const& configuration = leader.member->committedConfiguration();
        auto const isNew = host.id == host.nextId && host.nextId != bilberryyard::noMember;
        if (isNew && configuration.isVoter(host.id)) {
            host.isBeingReplaced = false;
            host.nextId = {};
            ++m_cluster.result.replacements;
            // Second failure right after the replacement (fault F6).
            if (random().chance(60) && m_cluster.now < faultPhaseEnd)
                crash(randomHost(), true);
            return;
        }
        if (isNew)
            return;
        if (configuration.contains(host.id)) {
            m_cluster.change(leader, { membership_change_kind::Remove, host.id, {} });
            return;
        }
        if (host.nextId != bilberryyard::noMember && configuration.contains(host.nextId)) {
            join(host);
            return;
        }
        if (host.nextId == bilberryyard::noMember || host.nextId <= configuration.highestMember())
            host.nextId = bilberryyard::member_id { m_cluster.nextMember++ };
        m_cluster.change(leader, { membership_change_kind::AddLearner, host.nextId, {} });
    }

    void join(host_type& host)
    {
        if (host.isRunning())
            m_cluster.stop(host, true);
        host.files.loseDisk();
        auto const status = host.initialize(host.nextId, {});
        if (!status.ok())
            m_cluster.checker.recordViolation("cannot initialise: " + bilberryyard::messageOf(status));
        m_cluster.hostOf[host.id] = host.hostIndex;
        m_cluster.start(host);
    }

    /// Ends all faults and waits until the members have the same state and accept proposals again.
    void waitForRecovery()
    {
        m_cluster.heal();
        m_cluster.lostMessages = m_cluster.duplicatedMessages = m_cluster.slowMessages = 0;
        m_cluster.slowSyncs = m_cluster.storageFailures = 0;
        for (auto const& host : m_cluster.hosts) {
            host->suspendedUntil = std::min(host->suspendedUntil, m_cluster.now);
            if (host->isRunning() && !host->member->failure().ok())
                m_cluster.stop(*host, false);
        }
        auto const end = m_cluster.now + recoveryTimeout;
        auto finalRequest = uint64_t { 0 };
        while (!m_cluster.checker.violation() && m_cluster.now < end) {
            m_cluster.runUntil(m_cluster.now + 100 * millisecond);
            restartAll();
            auto* leader = m_cluster.leader();
            if (!leader)
                continue;
            if (hasRecovered(*leader, finalRequest))
                return;
            finalRequest = ++m_requests;
            m_cluster.propose(*leader, finalRequest);
        }
        if (!m_cluster.checker.violation())
            m_cluster.checker.recordViolation("no progress after all faults ended: " + describe());
    }

    bool hasRecovered(host_type const& leader, uint64_t request)
    {
        for (auto const& host : m_cluster.hosts) {
            if (!host->isRunning() || host->isBeingReplaced || host->state.index != leader.state.index)
                return false;
        }
        return request != 0 && leader.state.requests.contains(request);
    }

    std::string describe()
    {
        std::string result;
        for (auto const& host : m_cluster.hosts) {
            result += " [host " + std::to_string(host->hostIndex + 1) + " member " + std::to_string(host->id.value);
            if (host->isRunning())
                result += " role " + std::to_string(static_cast<int>(host->member->role())) + " term "
                    + std::to_string(host->member->term()) + " applied " + std::to_string(host->state.index) + " last "
                    + std::to_string(host->member->lastIndex()) + " "
                    + bilberryyard::messageOf(host->member->failure());
            result += host->isBeingReplaced ? " being replaced]" : "]";
        }
        return result;
    }

    cluster_simulation<Policy> m_cluster;
    bool m_churn;
    bool m_hasFewProposals;
    /// Maximum time between two faults, in milliseconds.
    uint64_t m_faultInterval;
    uint64_t m_requests = 0;
};
