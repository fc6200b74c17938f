#pragma once

#include <Consensus/log_entry.h>
#include <deque>
#include <optional>
#include <vector>

namespace bilberryyard {

/// The part of the log that a member holds in memory: the entries after a base position.
class replicated_log {
public:
    /// @param baseIndex Index of the last entry that is not held.
    /// @param baseTerm Its term.
    replicated_log(log_index baseIndex, term_number baseTerm)
        : m_baseIndex(baseIndex)
        , m_baseTerm(baseTerm)
    {
    }

    log_index baseIndex() const { return m_baseIndex; }
    log_index lastIndex() const { return m_baseIndex + m_entries.size(); }
    term_number lastTerm() const { return m_entries.empty() ? m_baseTerm : m_entries.back().term; }

    /// @param index Any index.
    /// @return The term of the entry, or nothing when it is not held; the base position has a term.
    std::optional<term_number> termAt(log_index index) const;

    /// @param index An index that is held.
    log_entry const& at(log_index index) const { return m_entries[index - m_baseIndex - 1]; }

    /// @param from First index, which must be held or one past the end.
    /// @param maximumBytes Bound on the payloads; the first entry is included in any case.
    /// @return Entries from `from` on.
    std::vector<log_entry> slice(log_index from, uint64_t maximumBytes) const;

    /// @param index An index that is held.
    /// @return The first held index of the run of entries with the same term.
    log_index firstIndexOfTermAt(log_index index) const;

    /// @param term A term.
    /// @return The last held index with that term, or nothing.
    std::optional<log_index> lastIndexOfTerm(term_number term) const;

    /// @param entry The entry with index lastIndex() + 1.
    void append(log_entry entry) { m_entries.push_back(std::move(entry)); }

    /// @param index Entries from here on are removed.
    void truncateFrom(log_index index);

    /// @param index Entries up to here are no longer held.
    void compactTo(log_index index);

    /// Discards everything.
    /// @param baseIndex The new base position.
    /// @param baseTerm Its term.
    void restartAfter(log_index baseIndex, term_number baseTerm);

private:
    log_index m_baseIndex;
    term_number m_baseTerm;
    std::deque<log_entry> m_entries;
};

} // namespace bilberryyard
