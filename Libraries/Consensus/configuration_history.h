#pragma once

#include <Consensus/cluster_configuration.h>
#include <utility>
#include <vector>

namespace bilberryyard {

/// The configurations in effect at each log index, starting with that of the latest snapshot.
class configuration_history {
public:
    /// @param index Index of the snapshot.
    /// @param configuration The configuration in effect at that index.
    configuration_history(log_index index, cluster_configuration configuration)
        : m_entries { { index, std::move(configuration) } }
    {
    }

    /// @return The configuration in effect for elections and majorities, committed or not (Ongaro 2014, section 4.1).
    cluster_configuration const& latest() const { return m_entries.back().second; }
    log_index latestIndex() const { return m_entries.back().first; }

    /// @return The configuration in effect after the entry at `index`.
    cluster_configuration const& at(log_index index) const
    {
        auto position = m_entries.size() - 1;
        while (position > 0 && m_entries[position].first > index)
            --position;
        return m_entries[position].second;
    }

    void append(log_index index, cluster_configuration configuration)
    {
        m_entries.emplace_back(index, std::move(configuration));
    }

    void truncateFrom(log_index index)
    {
        while (m_entries.size() > 1 && m_entries.back().first >= index)
            m_entries.pop_back();
    }

    /// Replaces the history up to a new snapshot.
    /// @param index Index of the snapshot.
    /// @param configuration The configuration in effect at that index.
    void rebase(log_index index, cluster_configuration configuration)
    {
        std::erase_if(m_entries, [index](auto const& entry) { return entry.first <= index; });
        m_entries.emplace(m_entries.begin(), index, std::move(configuration));
    }

private:
    std::vector<std::pair<log_index, cluster_configuration>> m_entries;
};

} // namespace bilberryyard
