#include <Consensus/replicated_log.h>

#include <algorithm>

namespace bilberryyard {

namespace {

    /// Upper bound on the encoded size of an entry without its payload, in bytes.
    constexpr uint64_t entryOverhead = 32;

} // namespace

std::optional<term_number> replicated_log::termAt(log_index index) const
{
    if (index == m_baseIndex)
        return m_baseTerm;
    if (index < m_baseIndex || index > lastIndex())
        return std::nullopt;
    return at(index).term;
}

std::vector<log_entry> replicated_log::slice(log_index from, uint64_t maximumBytes) const
{
    std::vector<log_entry> result;
    uint64_t bytes = 0;
    for (auto index = from; index <= lastIndex(); ++index) {
        auto const& entry = at(index);
        bytes += entry.payload.size() + entryOverhead;
        if (!result.empty() && bytes > maximumBytes)
            break;
        result.push_back(entry);
    }
    return result;
}

log_index replicated_log::firstIndexOfTermAt(log_index index) const
{
    auto const term = at(index).term;
    while (index > m_baseIndex + 1 && at(index - 1).term == term)
        --index;
    return index;
}

std::optional<log_index> replicated_log::lastIndexOfTerm(term_number term) const
{
    // Terms never decrease along the log, so a binary search is possible.
    auto const after = std::upper_bound(m_entries.begin(), m_entries.end(), term,
        [](term_number value, log_entry const& entry) { return value < entry.term; });
    if (after == m_entries.begin() || std::prev(after)->term != term)
        return std::nullopt;
    return std::prev(after)->index;
}

void replicated_log::truncateFrom(log_index index)
{
    while (lastIndex() >= index && !m_entries.empty())
        m_entries.pop_back();
}

void replicated_log::compactTo(log_index index)
{
    while (m_baseIndex < index && !m_entries.empty()) {
        m_baseTerm = m_entries.front().term;
        m_entries.pop_front();
        ++m_baseIndex;
    }
}

void replicated_log::restartAfter(log_index baseIndex, term_number baseTerm)
{
    m_entries.clear();
    m_baseIndex = baseIndex;
    m_baseTerm = baseTerm;
}

} // namespace bilberryyard
