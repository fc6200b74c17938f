#pragma once

#include <Routing/planner_types.h>
#include <Routing/replicated_table.h>
#include <Routing/share_calculator.h>
#include <Routing/witness_selector.h>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bilberryyard {

/// Priority of a change when the budget is too small for all of them, highest first.
enum class change_urgency : uint8_t {
    /// New flows have no accepting server or no witness.
    Urgent,
    /// Changes of witness roles; the remaining witnesses of the group serve meanwhile.
    Repair,
    /// Moves between accepting servers.
    Balance,
    /// Settling of buckets.
    Settle,
};

/// Plans the table of one service. Decides which changes to make; table_planner limits their rate.
///
/// The rollout state of a bucket follows from the table and from three values that the planner keeps: the versions at
/// which the bucket became tracked and last changed, and the server that it moves to. A planner that starts in the
/// middle of a rollout sets both versions to the version of its initial table. Once every live host has acknowledged
/// that version, the bucket is in the same state on all hosts.
class service_planner {
public:
    /// @param self The planning host, which becomes the author of the changes.
    /// @param traffic Whether buckets can be stable.
    /// @param start The initial table.
    service_planner(
        planner_settings const& settings, routed_peer self, service_traffic traffic, replicated_table const& start);

    /// Handles the table that a host of another partition or a follower of a previous planner offers. The table is
    /// ignored when it only lags behind, adopted when it contains all changes in this planner's table, and merged
    /// otherwise.
    void offer(replicated_table const& other);

    /// Records a witness's report that buckets can settle. A report about an earlier state has no effect.
    void settled(settled_report const& report);

    /// Records a filling witness's report that it has received all entries.
    void filled(filled_report const& report);

    /// Decides which changes are due. Must be called once before build().
    void plan(planner_input const& input);

    /// Records that a host lost synchronisation. The other witnesses may have recorded flows without it meanwhile, so
    /// it becomes a filling witness again where there is another complete one.
    void recordDesynchronisation(routed_peer host);

    /// Puts the changes that plan() decided into a delta, most urgent first, and applies it to the table. Once every
    /// live host has the table, the first delta is published even when it is empty. It adds this planner to the
    /// lineage; otherwise the table of a side of a partition that needed no change would be treated as one that only
    /// lags behind.
    /// @param minimumUrgency Less urgent changes are left for a later call.
    /// @param byteLimit Largest estimated size of the delta.
    /// @return The delta; nullopt when no change is due or the first one exceeds the limit.
    std::optional<table_delta> build(change_urgency minimumUrgency, uint64_t byteLimit);

    /// @return The planner's table with all published changes.
    bucket_table const& table() const { return m_table; }

    /// @return A counter that increases with every change of the table's contents.
    uint64_t revision() const { return m_revision; }

    /// @return The table with its lineage, for a host that synchronises.
    replicated_table replicated() const { return { m_table, m_lineage }; }

    /// @return Whether no bucket names the leaving host and every live host has acknowledged a table with that state.
    bool isReleased(host_id host) const;

private:
    struct rollout_state {
        /// Version at which the bucket became tracked.
        uint64_t trackedAt = 0;
        /// Version at which the bucket last changed.
        uint64_t changedAt = 0;
        /// Time since which no complete witness was removed and no table merged, at the earliest the first plan().
        std::optional<monotonic_time> witnessesUnchangedSince;
        /// The server that the bucket moves to, or noServer.
        server_id destination = noServer;
        /// The state was changed by a merge and is not published yet.
        bool isMerged = false;
    };
    struct proposal {
        change_urgency urgency = change_urgency::Settle;
        uint32_t index = 0;
        bucket value;
        witness_set witnesses;
    };

    void readInput(planner_input const& input);
    void updateUnresponsiveHosts(planner_input const& input);
    server_id ownerOf(uint32_t index) const;
    bool accepts(server_id server) const;
    bool mayAssign();
    std::map<server_id, uint32_t> quotasFor(planner_input const& input, std::map<server_id, uint32_t> const& counts);
    bool canSkipPlanning(planner_input const& input);
    bool isBalanced() const;
    void moveToQuotas(planner_input const& input);
    void setDestination(uint32_t index, server_id server);
    bool isAcknowledged(uint64_t version) const { return m_acknowledged && version <= *m_acknowledged; }
    void replace(uint32_t index, bucket value, witness_set const& witnesses, table_delta& rebuilt);
    std::optional<proposal> propose(uint32_t index, std::vector<bool> const& repairs) const;
    void proposeWitnesses(proposal& change, bool& isChanged, std::vector<bool> const& repairs) const;
    void proposeServer(proposal& change, bool& isChanged) const;
    void proposeSettling(proposal& change, bool& isChanged) const;
    bool maySettle(uint32_t index) const;
    void apply(table_delta const& delta, std::vector<proposal> const& published);
    void updateLeavingHosts(planner_input const& input);

    planner_settings m_settings;
    routed_peer m_self;
    service_traffic m_traffic;
    bucket_table m_table;
    table_lineage m_lineage;
    share_calculator m_shares;
    std::vector<rollout_state> m_rollouts;
    /// Witnesses that reported that a bucket can settle, by bucket.
    std::map<uint32_t, std::set<routed_peer>> m_settled;
    std::map<uint32_t, std::set<routed_peer>> m_filled;
    /// Hosts that lost synchronisation and must become filling witnesses again, by bucket.
    std::map<uint32_t, std::set<routed_peer>> m_demoted;
    std::vector<proposal> m_proposals;
    uint64_t m_highestCounter = 0;
    uint64_t m_revision = 0;

    monotonic_time m_now;
    std::optional<monotonic_time> m_previousPlan;
    std::optional<monotonic_time> m_firstServerAt;
    double m_moveAllowance = 0;
    std::map<server_id, planner_server> m_servers;
    std::optional<witness_selector> m_selector;
    /// Highest version that every live host has acknowledged.
    std::optional<uint64_t> m_acknowledged;
    bool m_isFullView = false;
    std::map<host_id, monotonic_time> m_unresponsiveSince;
    /// Configured hosts that are live, or unresponsive for less than unreachableGroupTimeout.
    std::set<host_id> m_retainedHosts;
    /// Whether the lineage contains this planner; see build().
    bool m_hasPublished = false;
    /// Inputs of the last plan() that was not skipped. While they do not change and no rollout is in progress, plan()
    /// is skipped, and its cost depends on the numbers of servers and hosts but not of buckets.
    std::vector<planner_host> m_plannedHosts;
    std::set<host_id> m_plannedConfiguration;
    std::set<host_id> m_plannedRetainedHosts;
    std::map<server_id, uint32_t> m_plannedCounts;
    std::map<server_id, uint32_t> m_plannedQuotas;
    std::vector<planner_server> m_plannedServers;
    bool m_isIdle = false;
    bool m_isSteady = false;
    /// For each leaving host the first version in which no bucket names it; nullopt while a bucket does.
    std::map<host_id, std::optional<uint64_t>> m_leaving;
};

} // namespace bilberryyard
