#include "route_history.h"

#include <Fleet/fleet_codec.h>
#include <algorithm>

namespace bilberryyard {

void route_history::add(route_table table)
{
    m_encoded.clear();
    m_encodedTable = encodeFleetMessage(table);
    m_tables.push_back(std::move(table));
    if (m_tables.size() > maximumVersions)
        m_tables.pop_front();
}

std::string const& route_history::encodedSince(uint64_t version)
{
    if (auto const known = m_encoded.find(version); known != m_encoded.end())
        return known->second;
    auto const table = std::find_if(
        m_tables.begin(), m_tables.end(), [&](route_table const& entry) { return entry.version == version; });
    if (table == m_tables.end())
        return m_encodedTable;
    auto const difference = makeRouteDifference(*table, m_tables.back());
    return difference ? m_encoded.emplace(version, encodeFleetMessage(*difference)).first->second : m_encodedTable;
}

uint64_t route_history::previousVersion() const
{
    return m_tables.size() < 2 ? 0 : m_tables[m_tables.size() - 2].version;
}

} // namespace bilberryyard
