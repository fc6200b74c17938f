#pragma once

#include "cluster_simulation.h"
#include <Consensus/group_planner.h>

/// How the disks of a schedule are lost.
enum class group_weather : uint8_t {
    /// Hosts lose disks one after the other, each as soon as the former one has had its time to catch up.
    Calm,
    /// Cuts, suspensions, crashes and lost messages besides; a disk is lost only while the group is whole.
    Stormy,
};

/// Plays a group that founds itself from three seeds, grows, and replaces its members without an operator: the
/// leader asks planGroupChange(), hosts without an identity ask to join.
template <typename Policy>
class group_schedule {
public:
    static constexpr size_t founders = 3;

    /// @param seed Everything follows from it; even seeds are calm.
    group_schedule(uint64_t seed, tracing traces)
        : m_cluster(seed, founders + 1 + seed % 4, 300, traces, founders)
        , m_weather(seed % 2 == 0 ? group_weather::Calm : group_weather::Stormy)
    {
        m_settings.toleratedLosses = m_cluster.hosts.size() >= 5 ? 2 : 1;
        m_settings.replaceAfter = std::chrono::milliseconds(1'200);
        m_tokens.assign(m_cluster.hosts.size(), 0);
        m_backAt.assign(m_cluster.hosts.size(), 0);
        m_contactAt.assign(m_cluster.hosts.size(), 0);
        for (size_t number = founders; number < m_cluster.hosts.size(); ++number)
            apply(*m_cluster.hosts[number]);
    }

    schedule_result run()
    {
        schedulePlan();
        scheduleCaller();
        scheduleFault();
        m_cluster.runUntil(faultTime);
        settle();
        return m_cluster.finish();
    }

private:
    using host_type = simulated_host<Policy>;
    static constexpr int64_t millisecond = cluster_simulation<Policy>::millisecond;
    static constexpr int64_t faultTime = 25'000 * millisecond;
    static constexpr int64_t settleTime = 20'000 * millisecond;
    /// A host that returned without its disk counts as lost for this long.
    static constexpr int64_t firstContactLimit = 6'000 * millisecond;
    static constexpr int64_t catchUpTime = 4'000 * millisecond;

    seeded_random& random() { return m_cluster.random; }
    host_type& anyHost() { return *m_cluster.hosts[random().below(m_cluster.hosts.size())]; }
    int64_t soon(uint64_t milliseconds)
    {
        return m_cluster.now + static_cast<int64_t>(random().below(milliseconds) + 1) * millisecond;
    }

    static std::string hostName(size_t number) { return "host-" + std::to_string(number); }
    std::string addressOf(size_t number) const { return hostName(number) + " " + std::to_string(m_tokens[number]); }

    /// The host has an empty disk and asks to join under a new token.
    void apply(host_type& host)
    {
        host.diskIsLost = true;
        m_tokens[host.number] = ++m_drawnTokens;
    }

    bool isApplying(host_type const& host) const { return host.diskIsLost && m_cluster.now >= m_backAt[host.number]; }

    void schedulePlan()
    {
        m_cluster.at(m_cluster.now + 100 * millisecond, [this] {
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
            // Founders have no address in these schedules; their identifier says where they are.
            auto const address
                = description.address.empty() ? hostName(description.id.value - 1) + " 0" : description.address;
            auto const host = address.substr(0, address.find(' '));
            auto const contact = leader.member->lastContact(description.id);
            members.push_back({ description.id, description.role, host, "zone-" + host.substr(host.size() - 1), address,
                contact ? local - *contact : bilberryyard::duration::zero() });
        }
        std::vector<bilberryyard::group_applicant> applicants;
        for (auto const& host : m_cluster.hosts) {
            if (!isApplying(*host) || m_cluster.isBlocked(host->number, leader.number))
                continue;
            auto const address = addressOf(host->number);
            applicants.push_back({ address, hostName(host->number) });
            for (auto const& member : leader.member->committedConfiguration().members()) {
                if (member.address == address && !m_cluster.isBlocked(leader.number, host->number)) {
                    admit(*host, member.id);
                    break;
                }
            }
        }
        bilberryyard::member_id const unused { configuration.highestMember().value + 1 };
        auto const change = bilberryyard::planGroupChange(m_settings, members, leader.id, unused, applicants);
        if (change)
            m_cluster.change(leader, *change);
    }

    void admit(host_type& host, bilberryyard::member_id id)
    {
        if (!host.initialize(id, {}).ok())
            m_cluster.checker.violate("cannot initialise " + hostName(host.number));
        m_cluster.hostOf[id] = host.number;
        ++m_cluster.result.replacements;
        m_cluster.start(host);
    }

    void scheduleCaller()
    {
        m_cluster.at(soon(60), [this] {
            if (m_cluster.now < faultTime)
                call();
            scheduleCaller();
        });
    }

    void call()
    {
        auto& target = m_cluster.leader() ? *m_cluster.leader() : anyHost();
        if (target.isRunning())
            m_cluster.propose(target, ++m_requests);
        for (auto const& host : m_cluster.hosts) {
            if (host->isRunning() && random().chance(30))
                m_cluster.read(*host);
        }
    }

    void scheduleFault()
    {
        m_cluster.at(soon(m_weather == group_weather::Calm ? 1'500 : 900), [this] {
            if (m_cluster.now >= faultTime)
                return;
            if (m_weather == group_weather::Calm)
                loseDisks();
            else
                injectFault();
            scheduleFault();
        });
    }

    size_t lostHosts() const
    {
        return static_cast<size_t>(std::count_if(m_cluster.hosts.begin(), m_cluster.hosts.end(), [&](auto const& host) {
            auto const backAt = m_backAt[host->number];
            return backAt != 0 && m_cluster.now < backAt + catchUpTime;
        }));
    }

    /// The group has all its voters, and all of them run.
    bool isWhole()
    {
        auto* const leader = m_cluster.leader();
        if (!leader)
            return false;
        auto const& configuration = leader->member->committedConfiguration();
        size_t voters = 0;
        for (auto const& description : configuration.members()) {
            auto const place = m_cluster.hostOf.find(description.id);
            if (description.role != bilberryyard::member_role::Voter || place == m_cluster.hostOf.end())
                continue;
            auto const& host = *m_cluster.hosts[place->second];
            // A host that lost its disk or serves under another number does not back this vote.
            voters
                += host.isRunning() && host.id == description.id && host.state.index + 8 >= leader->state.index ? 1 : 0;
        }
        return voters >= bilberryyard::votersFor(m_settings.toleratedLosses) && voters == configuration.voterCount();
    }

    void loseDisks()
    {
        auto const allowed = m_settings.toleratedLosses - std::min<size_t>(lostHosts(), m_settings.toleratedLosses);
        // Before traffic starts, a deployment has had time to grow.
        if (allowed == 0 || m_cluster.now < catchUpTime)
            return;
        for (size_t count = 1 + random().below(allowed); count > 0; --count) {
            auto& host = anyHost();
            if (m_backAt[host.number] == 0 || m_cluster.now >= m_backAt[host.number] + catchUpTime)
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
        // The rule that is switched off: the member returns as the founding voter it was.
        if (!Policy::rejoinsAsLearner && m_cluster.founding.contains(host.id)) {
            if (host.initialize(host.id, m_cluster.founding).ok())
                m_cluster.start(host);
            m_backAt[host.number] = m_cluster.now;
            return;
        }
        apply(host);
        m_backAt[host.number] = soon(1'500);
    }

    void injectFault()
    {
        auto& host = anyHost();
        switch (random().below(8)) {
        case 0:
            if (host.isRunning()) {
                m_cluster.stop(host, random().chance(60));
                m_cluster.at(soon(1'500), [this, &host] { restart(host); });
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
            host.suspendedUntil = soon(4'000);
            break;
        case 5:
            m_cluster.lostMessages = random().chance(50) ? random().below(20) : 0;
            m_cluster.slowSyncs = random().below(20);
            break;
        default:
            if (isWhole())
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

    /// Members that were removed empty their disks and join again, as consensus_group does.
    void rejoinRemoved()
    {
        for (auto const& host : m_cluster.hosts) {
            bool const isUnconfigured = host->isRunning() && host->member->configuration().members().empty();
            if (!isUnconfigured)
                m_contactAt[host->number] = m_cluster.now;
            bool const isForgotten = isUnconfigured && m_cluster.now - m_contactAt[host->number] >= firstContactLimit;
            bool const isRemoved = host->isRunning() && host->member->role() == bilberryyard::consensus_role::Stopped
                && host->member->failure().ok();
            if ((!isRemoved && !isForgotten) || m_cluster.now < host->suspendedUntil)
                continue;
            m_cluster.stop(*host, false);
            host->files.loseDisk();
            apply(*host);
        }
    }

    void settle()
    {
        m_cluster.heal();
        m_cluster.lostMessages = m_cluster.slowSyncs = 0;
        for (auto const& host : m_cluster.hosts)
            host->suspendedUntil = std::min(host->suspendedUntil, m_cluster.now);
        auto const end = m_cluster.now + settleTime;
        uint64_t finalRequest = 0;
        while (!m_cluster.checker.violation() && m_cluster.now < end) {
            m_cluster.runUntil(m_cluster.now + 100 * millisecond);
            rejoinRemoved();
            for (auto const& host : m_cluster.hosts)
                restart(*host);
            auto* const leader = m_cluster.leader();
            if (!leader)
                continue;
            if (finalRequest != 0 && leader->state.requests.contains(finalRequest) && isWhole())
                return;
            finalRequest = ++m_requests;
            m_cluster.propose(*leader, finalRequest);
        }
        if (!m_cluster.checker.violation())
            m_cluster.checker.violate("the group is not whole and serving after all faults ended");
    }

    cluster_simulation<Policy> m_cluster;
    group_weather m_weather;
    bilberryyard::group_planner_settings m_settings;
    std::vector<uint64_t> m_tokens;
    /// When a host that lost its disk is back; 0 for one that never did.
    std::vector<int64_t> m_backAt;
    /// When a host was last seen without a member that nobody has contacted.
    std::vector<int64_t> m_contactAt;
    uint64_t m_drawnTokens = 0;
    uint64_t m_requests = 0;
};
