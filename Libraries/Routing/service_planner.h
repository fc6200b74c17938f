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

/// How soon a change must be published when the budget does not hold all of them.
enum class change_urgency : uint8_t {
    /// New flows have no server or no witness.
    Urgent,
    /// Witness roles; the remaining witness serves meanwhile.
    Repair,
    /// Moves between accepting servers.
    Balance,
    /// Settling.
    Settle,
};

/// Plans the table of one service. It decides; table_planner paces it.
///
/// The rollout state of a bucket follows from the table, apart from three things that a planner remembers:
/// the versions at which the bucket became tracked and last changed, and the server it is to move to. A
/// planner that takes over in the middle of a rollout treats both versions as the one it starts with:
/// once every live host has acknowledged this, every host has the bucket as the table says.
class service_planner {
public:
    /// @param settings The planner's settings.
    /// @param self The planning host; the author of the changes.
    /// @param traffic Whether buckets can be stable.
    /// @param start The table to continue with.
    service_planner(
        planner_settings const& settings, routed_peer self, service_traffic traffic, replicated_table const& start);

    /// Takes the table that a host of another partition, or of an earlier planner, offers: ignored when
    /// it only lags, adopted when it contains everything that this planner knows, merged otherwise.
    /// @param other Its table.
    void offer(replicated_table const& other);

    /// Takes a witness's report; a report about a state that has changed has no effect.
    /// @param report The report.
    void settled(settled_report const& report);

    /// Takes a filling witness's report.
    /// @param report The report.
    void filled(filled_report const& report);

    /// Decides on the moves and repairs that are due. Call once before build().
    /// @param input The time, hosts and servers.
    void plan(planner_input const& input);

    /// Takes note that a host lost synchronisation: others may have recorded flows without it meanwhile, so
    /// where another complete witness exists it must fill again.
    /// @param host The host.
    void desynchronised(routed_peer host);

    /// Publishes what plan() decided, most urgent first, and applies it to the table. Once every live host
    /// holds the table, the first delta is published even when it is empty: it marks the table in the
    /// lineage, so that a side of a partition that needed no change is not taken for one that only lags.
    /// @param least Only changes that are at least this urgent.
    /// @param byteLimit The size at which to stop.
    /// @return The delta, or nothing when no change is due or the first does not fit.
    std::optional<table_delta> build(change_urgency least, uint64_t byteLimit);

    /// @return The planner's table, all published changes included.
    bucket_table const& table() const { return m_table; }

    /// @return A number that changes with every change of the table's contents.
    uint64_t revision() const { return m_revision; }

    /// @return The table with its lineage, for a host that synchronises.
    replicated_table replicated() const { return { m_table, m_lineage }; }

    /// @param host A leaving host.
    /// @return Whether no bucket names the host and every live host has acknowledged this.
    bool isReleased(host_id host) const;

private:
    struct bucket_memory {
        /// Version at which the bucket became tracked.
        uint64_t trackedAt = 0;
        /// Version of the last change.
        uint64_t changedAt = 0;
        /// When a complete witness was last removed or a table merged, or when this planner first planned.
        std::optional<monotonic_time> witnessesSince;
        server_id destination = noServer;
        /// The state was merged and is not published yet.
        bool isMerged = false;
    };
    struct proposal {
        change_urgency urgency = change_urgency::Settle;
        uint32_t index = 0;
        bucket value;
        witness_set witnesses;
    };

    void readInput(planner_input const& input);
    void noteSilentHosts(planner_input const& input);
    server_id ownerOf(uint32_t index) const;
    bool accepts(server_id server) const;
    bool mayAssign();
    std::map<server_id, uint32_t> quotasFor(planner_input const& input, std::map<server_id, uint32_t> const& counts);
    bool isQuiet(planner_input const& input);
    bool isBalanced() const;
    void moveToQuotas(planner_input const& input);
    void direct(uint32_t index, server_id server);
    bool isAcknowledged(uint64_t version) const { return m_acknowledged && version <= *m_acknowledged; }
    void replace(uint32_t index, bucket value, witness_set const& witnesses, table_delta& rebuilt);
    std::optional<proposal> propose(uint32_t index, std::vector<bool> const& repairs) const;
    void proposeWitnesses(proposal& change, bool& isChanged, std::vector<bool> const& repairs) const;
    void proposeServer(proposal& change, bool& isChanged) const;
    void proposeSettling(proposal& change, bool& isChanged) const;
    bool maySettle(uint32_t index) const;
    void apply(table_delta const& delta, std::vector<proposal> const& published);
    void noteLeavingHosts(planner_input const& input);

    planner_settings m_settings;
    routed_peer m_self;
    service_traffic m_traffic;
    bucket_table m_table;
    table_lineage m_lineage;
    share_calculator m_shares;
    std::vector<bucket_memory> m_memory;
    /// Witnesses that reported a bucket settled in its present state.
    std::map<uint32_t, std::set<routed_peer>> m_settled;
    std::map<uint32_t, std::set<routed_peer>> m_filled;
    /// Witnesses that are to fill again.
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
    /// Lowest version that every live host has acknowledged.
    std::optional<uint64_t> m_acknowledged;
    bool m_isFullView = false;
    std::map<host_id, monotonic_time> m_silentSince;
    /// Configured hosts that are live or have not been silent for long.
    std::set<host_id> m_heldHosts;
    /// Whether this planner's lineage shows that it planned; see build().
    bool m_hasPublished = false;
    /// What the last full plan() saw. While nothing of it changes and nothing is under way, a step costs time
    /// in proportion to servers and hosts, and not to buckets.
    std::vector<planner_host> m_plannedHosts;
    std::set<host_id> m_plannedConfiguration;
    std::set<host_id> m_plannedHeldHosts;
    std::map<server_id, uint32_t> m_plannedCounts;
    std::map<server_id, uint32_t> m_plannedQuotas;
    std::vector<planner_server> m_plannedServers;
    bool m_isAtRest = false;
    bool m_isSteady = false;
    /// Per leaving host the first version that no bucket names it in; nothing while one does.
    std::map<host_id, std::optional<uint64_t>> m_leaving;
};

} // namespace bilberryyard
