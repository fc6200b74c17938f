#pragma once

#include <Consensus/log_entry.h>
#include <deque>
#include <optional>
#include <vector>

namespace bilberryyard {

/// The part of the log that a member keeps in memory: the entries after a base index.
class replicated_log {
public:
    /// @param baseIndex Index of the last entry that is not in memory.
    /// @param baseTerm Term of that entry.
    replicated_log(log_index baseIndex, term_number baseTerm)
        : m_baseIndex(baseIndex)
        , m_baseTerm(baseTerm)
    {
    }

    log_index baseIndex() const { return m_baseIndex; }
    log_index lastIndex() const { return m_baseIndex + m_entries.size(); }
    term_number lastTerm() const { return m_entries.empty() ? m_baseTerm : m_entries.back().term; }

    /// @return The term of the entry at `index`, which may be the base index; nullopt if the entry is not in memory.
    std::optional<term_number> termAt(log_index index) const;

    /// @param index Index of an entry in memory.
    log_entry const& at(log_index index) const { return m_entries[index - m_baseIndex - 1]; }

    /// @param from Index of an entry in memory, or one past the last entry.
    /// @param maximumBytes Maximum encoded size of the result; the first entry is included in any case.
    /// @return The entries from `from` on that fit.
    std::vector<log_entry> slice(log_index from, uint64_t maximumBytes) const;

    /// @param index Index of an entry in memory.
    /// @return Index of the first entry in memory with the same term.
    log_index firstIndexOfTermAt(log_index index) const;

    /// @return Index of the last entry in memory with that term, or nullopt.
    std::optional<log_index> lastIndexOfTerm(term_number term) const;

    /// @param entry Must have index lastIndex() + 1.
    void append(log_entry entry) { m_entries.push_back(std::move(entry)); }

    /// @param index Entries from this index on are removed.
    void truncateFrom(log_index index);

    /// @param index Entries up to this index are removed from memory; it becomes the base index.
    void compactTo(log_index index);

    /// Discards all entries and sets a new base index.
    void restartAfter(log_index baseIndex, term_number baseTerm);

private:
    log_index m_baseIndex;
    term_number m_baseTerm;
    std::deque<log_entry> m_entries;
};

} // namespace bilberryyard
