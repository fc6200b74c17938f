#pragma once

#include <Routing/planner_types.h>
#include <cstdint>
#include <vector>

namespace bilberryyard {

/// Chooses witnesses, and repairs witness sets after hosts have left or joined.
///
/// Witnesses are chosen by rendezvous hashing over the hosts that have the planner's table, so that the roles are
/// evenly distributed and the failure of a host moves only its own roles. Each further witness of a group is chosen
/// from a zone without one, if there is such a zone.
class witness_selector {
public:
    /// @param service The service whose table contains the sets.
    /// @param hosts Live hosts.
    /// @param configuredHosts Entry hosts that the configuration lists, except those unresponsive for so long that
    ///     their entries count as lost.
    witness_selector(service_id service, planner_settings const& settings, std::vector<planner_host> const& hosts,
        std::set<host_id> const& configuredHosts);

    /// Chooses the witnesses of a bucket that has no explicit entries.
    /// @return One group of at most planner_settings::witnessCount complete witnesses.
    witness_set select(uint32_t index) const;

    /// @return Whether repaired() would change the set of a tracked bucket, which does not depend on the bucket.
    bool needsRepair(witness_set const& set) const;

    /// @return Whether the first group of a tracked bucket's set has no live complete witness, so that no host can
    ///     record new flows or resolve packets.
    bool hasLostRecordingGroup(witness_set const& set) const;

    /// Repairs a set:
    /// - Witnesses that restarted or were removed from the configuration lose their role.
    /// - Unresponsive witnesses lose their role, unless every witness of the group is unreachable: the group may
    ///   return when a partition heals.
    /// - A leaving witness loses its role once the group has another complete one.
    /// - In a group without a complete witness the filling ones become complete, as they have all remaining entries.
    /// - When the first group is unreachable, a new group is inserted before it to record new flows.
    /// - Groups with too few witnesses get filling ones.
    witness_set repaired(witness_set const& set, uint32_t index) const;

    /// @param reporter A witness that has received all entries.
    /// @return The set with this witness complete in every group.
    static witness_set completed(witness_set const& set, routed_peer reporter);

    /// @param member A witness that may lack entries.
    /// @return The set with this witness filling in each group that has another live complete one.
    witness_set demoted(witness_set const& set, routed_peer member) const;

    /// @return Whether any group contains the host.
    static bool containsHost(witness_set const& set, host_id host);

private:
    enum class reachability : uint8_t {
        Live,
        /// Not live but configured, so it may be on the remote side of a partition.
        Unresponsive,
        /// Restarted or no longer configured, so its entries are lost.
        Lost,
    };

    reachability reachabilityOf(witness const& member) const;
    planner_host const* hostOf(witness const& member) const;
    bool isUsable(witness const& member) const;
    bool isUnreachable(witness_group const& group) const;
    witness_group repairedGroup(witness_group const& group) const;
    void addFillingWitnesses(witness_set& set, uint8_t groupIndex, uint32_t index) const;
    bool needsFillingWitness(witness_set const& set, witness_group const& group) const;
    uint8_t countUsable(witness_group const& group) const;
    planner_host const* choose(uint32_t index, witness_set const& excluded, witness_group const& group) const;

    uint64_t m_seed;
    planner_settings m_settings;
    std::vector<planner_host> m_hosts;
    /// Hosts that may get a new role.
    std::vector<planner_host> m_candidates;
    std::set<host_id> m_configured;
};

} // namespace bilberryyard
