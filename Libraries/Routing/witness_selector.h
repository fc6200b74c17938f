#pragma once

#include <Routing/planner_types.h>
#include <cstdint>
#include <vector>

namespace bilberryyard {

/// Chooses witnesses and repairs witness sets after hosts have left or come.
///
/// Witnesses are chosen by rendezvous hashing over the hosts that hold the planner's table, so that the
/// roles spread evenly and a host's failure moves only its own roles. Each further witness is taken from a
/// zone that has none yet, as long as there is one.
class witness_selector {
public:
    /// @param service The service whose tables carry the sets.
    /// @param settings The planner's settings.
    /// @param hosts Live hosts.
    /// @param configuredHosts Entry hosts that the configuration lists, without those that count as lost.
    witness_selector(service_id service, planner_settings const& settings, std::vector<planner_host> const& hosts,
        std::set<host_id> const& configuredHosts);

    /// Chooses the witnesses of a bucket that has no explicit entries.
    /// @param index The bucket.
    /// @return One group of complete witnesses, at most witnessCount.
    witness_set select(uint32_t index) const;

    /// @param set A set of a tracked bucket.
    /// @return Whether repaired() would change it, whatever the bucket.
    bool needsRepair(witness_set const& set) const;

    /// @param set A set of a tracked bucket.
    /// @return Whether no live host can record new flows or answer for them.
    bool hasLostRecordingGroup(witness_set const& set) const;

    /// Repairs a set:
    /// - Witnesses that failed, restarted or were removed from the configuration lose their role, unless
    ///   the whole group is out of reach: the group may return when a partition heals.
    /// - A leaving witness loses its role once the group has another complete one.
    /// - A group without a complete witness continues with its filling one, which has what is left.
    /// - When the first group is out of reach, a new group records in front of it.
    /// - Groups with too few witnesses get a filling one.
    /// @param set The set.
    /// @param index The bucket.
    /// @return The repaired set.
    witness_set repaired(witness_set const& set, uint32_t index) const;

    /// @param set A set.
    /// @param reporter A witness that has received all entries.
    /// @return The set with this witness complete wherever it was filling.
    static witness_set completed(witness_set const& set, routed_peer reporter);

    /// Makes a witness that may lack entries fill again, in groups that have another live complete one.
    /// @param set The set.
    /// @param member The witness; it keeps the entries that it has.
    /// @return The set with this witness filling.
    witness_set demoted(witness_set const& set, routed_peer member) const;

    /// @param set A set.
    /// @param host A host.
    /// @return Whether any group names the host.
    static bool names(witness_set const& set, host_id host);

private:
    enum class reach : uint8_t {
        Live,
        /// Silent, but configured: it may be on the other side of a partition.
        Silent,
        /// Restarted or not configured any more: its entries are gone.
        Lost,
    };

    reach reachOf(witness const& member) const;
    planner_host const* hostOf(witness const& member) const;
    bool isUsable(witness const& member) const;
    bool isOutOfReach(witness_group const& group) const;
    witness_group repairedGroup(witness_group const& group) const;
    void refill(witness_set& set, uint8_t groupIndex, uint32_t index) const;
    bool canRefill(witness_set const& set, witness_group const& group) const;
    uint8_t staying(witness_group const& group) const;
    planner_host const* choose(uint32_t index, witness_set const& excluded, witness_group const& group) const;

    uint64_t m_seed;
    planner_settings m_settings;
    std::vector<planner_host> m_hosts;
    /// Hosts that may take a new role.
    std::vector<planner_host> m_candidates;
    std::set<host_id> m_configured;
};

} // namespace bilberryyard
