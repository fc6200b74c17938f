#include <Routing/table_replica.h>

#include <utility>

namespace bilberryyard {

table_replica::table_replica(replicated_table start)
    : m_content(std::move(start))
{
}

replica_need table_replica::announced(routed_peer planner, uint64_t version, uint64_t digest)
{
    m_followed = planner;
    if (m_planner == planner)
        return m_version >= version ? replica_need::Nothing : replica_need::Snapshot;
    m_planner.reset();
    if (m_content.table.digest() != digest)
        return replica_need::Snapshot;
    m_planner = planner;
    m_version = version;
    return replica_need::Nothing;
}

replica_need table_replica::received(routed_peer planner, table_delta const& delta)
{
    if (m_followed != planner || delta.service != m_content.table.service())
        return replica_need::Nothing;
    if (m_planner != planner)
        return replica_need::Snapshot;
    if (delta.version <= m_version)
        return replica_need::Nothing;
    if (delta.version != m_version + 1)
        return replica_need::Snapshot;
    m_content.table = m_content.table.withDelta(delta);
    m_version = delta.version;
    m_content.lineage.versions[planner] = delta.version;
    return replica_need::Nothing;
}

replica_need table_replica::received(routed_peer planner, replicated_table const& snapshot)
{
    if (m_followed != planner || snapshot.table.service() != m_content.table.service()
        || snapshot.table.bucketCount() != m_content.table.bucketCount())
        return replica_need::Nothing;
    if (!snapshot.lineage.covers(m_content.lineage))
        return replica_need::Offer;
    m_content = snapshot;
    m_planner = planner;
    m_version = snapshot.table.version();
    return replica_need::Nothing;
}

std::optional<uint64_t> table_replica::acknowledged(routed_peer planner) const
{
    if (m_planner != planner)
        return std::nullopt;
    return m_version;
}

} // namespace bilberryyard
