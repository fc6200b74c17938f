#pragma once

#include "cluster_simulation.h"
#include <Consensus/group_planner.h>

/// Which faults a schedule injects.
enum class group_fault_profile : uint8_t {
    /// Only lost disks, as many at a time as the group tolerates. A lost disk counts until the host has returned and
    /// had catchUpDuration to catch up.
    DiskLossOnly,
    /// Also partitions, suspensions, crashes and lost messages. A disk is lost only while the group has all its voters.
    AllFaults,
};

/// Simulates a group that is bootstrapped by three hosts, grows, and replaces its members without an operator: the
/// leader calls planGroupChange(), and hosts without an identity request to join.
template <typename Policy>
class group_schedule {
public:
    static constexpr size_t bootstrapHostCount = 3;

    /// @param seed Determines the schedule; even seeds have the profile DiskLossOnly.
    group_schedule(uint64_t seed, tracing traces)
        : m_cluster(seed, bootstrapHostCount + 1 + seed % 4, 300, traces, bootstrapHostCount)
        , m_faultProfile(seed % 2 == 0 ? group_fault_profile::DiskLossOnly : group_fault_profile::AllFaults)
    {
        m_settings.toleratedLosses = m_cluster.hosts.size() >= 5 ? 2 : 1;
        m_settings.voterTimeout = std::chrono::milliseconds(1'200);
        m_tokens.assign(m_cluster.hosts.size(), 0);
        m_returnsAt.assign(m_cluster.hosts.size(), 0);
        m_lastConfiguredAt.assign(m_cluster.hosts.size(), 0);
        for (size_t hostIndex = bootstrapHostCount; hostIndex < m_cluster.hosts.size(); ++hostIndex)
            apply(*m_cluster.hosts[hostIndex]);
    }

    schedule_result run()
    {
        schedulePlan();
        scheduleRequests();
        scheduleFault();
        m_cluster.runUntil(faultPhaseEnd);
        waitForRecovery();
        return m_cluster.finish();
    }

private:
    using host_type = simulated_host<Policy>;
    static constexpr int64_t millisecond = cluster_simulation<Policy>::millisecond;
    static constexpr int64_t faultPhaseEnd = 25'000 * millisecond;
    static constexpr int64_t recoveryTimeout = 20'000 * millisecond;
    /// A host whose member still has no configuration after this time erases its disk and requests to join again.
    static constexpr int64_t firstContactTimeout = 6'000 * millisecond;
    /// A host that returned without its disk counts as lost for this time.
    static constexpr int64_t catchUpDuration = 4'000 * millisecond;

    seeded_random& random() { return m_cluster.random; }
    host_type& randomHost() { return *m_cluster.hosts[random().below(m_cluster.hosts.size())]; }
    int64_t randomTimeWithin(uint64_t milliseconds)
    {
        return m_cluster.now + static_cast<int64_t>(random().below(milliseconds) + 1) * millisecond;
    }

    static std::string hostName(size_t hostIndex) { return "host-" + std::to_string(hostIndex); }
    std::string addressOf(size_t hostIndex) const
    {
        return hostName(hostIndex) + " " + std::to_string(m_tokens[hostIndex]);
    }

    /// Makes a host with an empty disk request to join with a new token.
    void apply(host_type& host)
    {
        host.diskIsLost = true;
        m_tokens[host.hostIndex] = ++m_tokenCount;
    }

    bool isApplying(host_type const& host) const
    {
        return host.diskIsLost && m_cluster.now >= m_returnsAt[host.hostIndex];
    }

    void schedulePlan()
    {
        m_cluster.scheduleAt(m_cluster.now + 100 * millisecond, [this] {
            for (auto const& host : m_cluster.hosts) {
                if (host->isRunning() && host->member->role() == bilberryyard::consensus_role::Leader
                    && m_cluster.now >= host->suspendedUntil)
                    plan(*host);
            }
            rejoinRemoved();
            schedulePlan();
        });
    }

    void plan(host_type& leader)
    {
        auto const local = leader.localTime(m_cluster.now);
        auto const& configuration = leader.member->configuration();
        std::vector<bilberryyard::member_status> members;
        for (auto const& description : configuration.members()) {
            // Bootstrap members have no address in these schedules; their host follows from their identifier.
            auto const address
                = description.address.empty() ? hostName(description.id.value - 1) + " 0" : description.address;
            auto const host = address.substr(0, address.find(' '));
            auto const contact = leader.member->lastContact(description.id);
            members.push_back({ description.id, description.role, host, "zone-" + host.substr(host.size() - 1), address,
                contact ? local - *contact : bilberryyard::duration::zero() });
        }
        std::vector<bilberryyard::group_applicant> applicants;
        for (auto const& host : m_cluster.hosts) {
            if (!isApplying(*host) || m_cluster.isBlocked(host->hostIndex, leader.hostIndex))
                continue;
            auto const address = addressOf(host->hostIndex);
            applicants.push_back({ address, hostName(host->hostIndex) });
            for (auto const& member : leader.member->committedConfiguration().members()) {
                if (member.address == address && !m_cluster.isBlocked(leader.hostIndex, host->hostIndex)) {
                    admit(*host, member.id);
                    break;
                }
            }
        }
        bilberryyard::member_id const nextMemberId { configuration.highestMember().value + 1 };
        auto const change = bilberryyard::planGroupChange(m_settings, members, leader.id, nextMemberId, applicants);
        if (change)
            m_cluster.change(leader, *change);
    }

    void admit(host_type& host, bilberryyard::member_id id)
    {
        if (!host.initialize(id, {}).ok())
            m_cluster.checker.recordViolation("cannot initialise " + hostName(host.hostIndex));
        m_cluster.hostOf[id] = host.hostIndex;
        ++m_cluster.result.replacements;
        m_cluster.start(host);
    }

    void scheduleRequests()
    {
        m_cluster.scheduleAt(randomTimeWithin(60), [this] {
            if (m_cluster.now < faultPhaseEnd)
                sendRequests();
            scheduleRequests();
        });
    }

    void sendRequests()
    {
        auto& target = m_cluster.leader() ? *m_cluster.leader() : randomHost();
        if (target.isRunning())
            m_cluster.propose(target, ++m_requests);
        for (auto const& host : m_cluster.hosts) {
            if (host->isRunning() && random().chance(30))
                m_cluster.read(*host);
        }
    }

    void scheduleFault()
    {
        m_cluster.scheduleAt(
            randomTimeWithin(m_faultProfile == group_fault_profile::DiskLossOnly ? 1'500 : 900), [this] {
                if (m_cluster.now >= faultPhaseEnd)
                    return;
                if (m_faultProfile == group_fault_profile::DiskLossOnly)
                    loseDisks();
                else
                    injectFault();
                scheduleFault();
            });
    }

    size_t lostHosts() const
    {
        return static_cast<size_t>(std::count_if(m_cluster.hosts.begin(), m_cluster.hosts.end(), [&](auto const& host) {
            auto const returnsAt = m_returnsAt[host->hostIndex];
            return returnsAt != 0 && m_cluster.now < returnsAt + catchUpDuration;
        }));
    }

    /// @return Whether the group has all its voters, and all of them run and are at most 8 entries behind the leader.
    bool hasAllVoters()
    {
        auto* const leader = m_cluster.leader();
        if (!leader)
            return false;
        auto const& configuration = leader->member->committedConfiguration();
        size_t voters = 0;
        for (auto const& description : configuration.members()) {
            auto const found = m_cluster.hostOf.find(description.id);
            if (description.role != bilberryyard::member_role::Voter || found == m_cluster.hostOf.end())
                continue;
            auto const& host = *m_cluster.hosts[found->second];
            // A host that lost its disk or has another identifier now does not count as this voter.
            voters
                += host.isRunning() && host.id == description.id && host.state.index + 8 >= leader->state.index ? 1 : 0;
        }
        return voters >= bilberryyard::votersFor(m_settings.toleratedLosses) && voters == configuration.voterCount();
    }

    void loseDisks()
    {
        auto const allowed = m_settings.toleratedLosses - std::min<size_t>(lostHosts(), m_settings.toleratedLosses);
        // Gives the group time to grow before the first fault.
        if (allowed == 0 || m_cluster.now < catchUpDuration)
            return;
        for (size_t count = 1 + random().below(allowed); count > 0; --count) {
            auto& host = randomHost();
            if (m_returnsAt[host.hostIndex] == 0 || m_cluster.now >= m_returnsAt[host.hostIndex] + catchUpDuration)
                loseDisk(host);
        }
    }

    void loseDisk(host_type& host)
    {
        if (host.isRunning())
            m_cluster.stop(host, true);
        m_cluster.trace(host, "loses its disk");
        ++m_cluster.result.diskLosses;
        host.files.loseDisk();
        // Without rejoinsAsLearner, the member returns under its former identifier as a bootstrap voter.
        if (!Policy::rejoinsAsLearner && m_cluster.bootstrapConfiguration.contains(host.id)) {
            if (host.initialize(host.id, m_cluster.bootstrapConfiguration).ok())
                m_cluster.start(host);
            m_returnsAt[host.hostIndex] = m_cluster.now;
            return;
        }
        apply(host);
        m_returnsAt[host.hostIndex] = randomTimeWithin(1'500);
    }

    void injectFault()
    {
        auto& host = randomHost();
        switch (random().below(8)) {
        case 0:
            if (host.isRunning()) {
                m_cluster.stop(host, random().chance(60));
                m_cluster.scheduleAt(randomTimeWithin(1'500), [this, &host] { restart(host); });
            }
            break;
        case 1:
            splitIntoHalves();
            break;
        case 2:
        case 3:
            m_cluster.heal();
            break;
        case 4:
            m_cluster.trace(host, "suspended");
            host.suspendedUntil = randomTimeWithin(4'000);
            break;
        case 5:
            m_cluster.lostMessages = random().chance(50) ? random().below(20) : 0;
            m_cluster.slowSyncs = random().below(20);
            break;
        default:
            if (hasAllVoters())
                loseDisk(host);
        }
    }

    void splitIntoHalves()
    {
        auto const count = m_cluster.hosts.size();
        auto const first = random().below(count);
        for (size_t from = 0; from < count; ++from) {
            for (size_t to = 0; to < count; ++to) {
                auto const fromSide = (from + count - first) % count < count / 2;
                auto const toSide = (to + count - first) % count < count / 2;
                m_cluster.block(from, to, fromSide != toSide);
            }
        }
    }

    void restart(host_type& host)
    {
        if (host.diskIsLost)
            return;
        if (!host.isRunning())
            m_cluster.start(host);
    }

    /// Lets removed members, and those that never received a configuration, erase their disks and request to join
    /// again, as consensus_group does.
    void rejoinRemoved()
    {
        for (auto const& host : m_cluster.hosts) {
            bool const isUnconfigured = host->isRunning() && host->member->configuration().members().empty();
            if (!isUnconfigured)
                m_lastConfiguredAt[host->hostIndex] = m_cluster.now;
            bool const hasTimedOut
                = isUnconfigured && m_cluster.now - m_lastConfiguredAt[host->hostIndex] >= firstContactTimeout;
            bool const isRemoved = host->isRunning() && host->member->role() == bilberryyard::consensus_role::Stopped
                && host->member->failure().ok();
            if ((!isRemoved && !hasTimedOut) || m_cluster.now < host->suspendedUntil)
                continue;
            m_cluster.stop(*host, false);
            host->files.loseDisk();
            apply(*host);
        }
    }

    void waitForRecovery()
    {
        m_cluster.heal();
        m_cluster.lostMessages = m_cluster.slowSyncs = 0;
        for (auto const& host : m_cluster.hosts)
            host->suspendedUntil = std::min(host->suspendedUntil, m_cluster.now);
        auto const end = m_cluster.now + recoveryTimeout;
        uint64_t finalRequest = 0;
        while (!m_cluster.checker.violation() && m_cluster.now < end) {
            m_cluster.runUntil(m_cluster.now + 100 * millisecond);
            rejoinRemoved();
            for (auto const& host : m_cluster.hosts)
                restart(*host);
            auto* const leader = m_cluster.leader();
            if (!leader)
                continue;
            if (finalRequest != 0 && leader->state.requests.contains(finalRequest) && hasAllVoters())
                return;
            finalRequest = ++m_requests;
            m_cluster.propose(*leader, finalRequest);
        }
        if (!m_cluster.checker.violation())
            m_cluster.checker.recordViolation("the group lacks voters or accepts no proposals after all faults ended");
    }

    cluster_simulation<Policy> m_cluster;
    group_fault_profile m_faultProfile;
    bilberryyard::group_planner_settings m_settings;
    std::vector<uint64_t> m_tokens;
    /// For each host, the time of its return after its last disk loss; 0 if it has not lost its disk.
    std::vector<int64_t> m_returnsAt;
    /// For each host, the last time at which its member had a configuration or no member was running.
    std::vector<int64_t> m_lastConfiguredAt;
    uint64_t m_tokenCount = 0;
    uint64_t m_requests = 0;
};
