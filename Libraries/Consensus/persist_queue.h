#pragma once

#include <Consensus/consensus_action.h>
#include <algorithm>
#include <deque>
#include <utility>

namespace bilberryyard {

/// Collects the changes of a member's durable state into one request at a time, and holds back the
/// messages that depend on changes that are not yet synced.
class persist_queue {
public:
    /// @param persistedIndex The last log index that is durable.
    explicit persist_queue(log_index persistedIndex)
        : m_persistedIndex(persistedIndex)
    {
    }

    void recordVote(vote_record vote)
    {
        m_next.vote = vote;
        m_hasChanges = true;
    }

    void append(log_entry const& entry)
    {
        m_next.entries.push_back(entry);
        m_hasChanges = true;
    }

    /// @param index Entries from here on are no longer part of the log.
    void truncateFrom(log_index index)
    {
        std::erase_if(m_next.entries, [index](log_entry const& entry) { return entry.index >= index; });
        m_next.truncateFrom = m_next.truncateFrom ? std::min(*m_next.truncateFrom, index) : index;
        m_inFlightLastIndex = std::min(m_inFlightLastIndex, index - 1);
        m_persistedIndex = std::min(m_persistedIndex, index - 1);
        m_hasChanges = true;
    }

    void saveSnapshot(std::shared_ptr<log_snapshot const> snapshot, log_continuation continuation)
    {
        m_next.snapshot = std::move(snapshot);
        m_hasChanges = true;
        if (continuation == log_continuation::Keep)
            return;
        m_next.continuation = continuation;
        m_next.truncateFrom.reset();
        m_next.entries.clear();
        m_inFlightLastIndex = 0;
        m_persistedIndex = 0;
    }

    /// @return Whether a snapshot waits to be written or is being written.
    bool savesSnapshot() const { return m_next.snapshot != nullptr || m_inFlightSavesSnapshot; }

    /// @return Sequence of the request that makes all changes so far durable.
    uint64_t dependency() const { return m_hasChanges ? m_nextSequence : m_nextSequence - 1; }

    /// @param message Leaves when all changes so far are durable.
    void hold(consensus_message message) { m_held.emplace_back(dependency(), std::move(message)); }

    /// @param lastIndex The last index of the log.
    /// @return The next request when there are changes and none is outstanding.
    std::optional<persist_request> nextRequest(log_index lastIndex)
    {
        if (!m_hasChanges || m_nextSequence != m_completed + 1)
            return std::nullopt;
        m_hasChanges = false;
        m_inFlightLastIndex = lastIndex;
        m_inFlightSavesSnapshot = m_next.snapshot != nullptr;
        m_next.sequence = m_nextSequence++;
        return std::exchange(m_next, {});
    }

    /// @param sequence Sequence of the outstanding request.
    /// @return Whether it was outstanding.
    bool complete(uint64_t sequence)
    {
        if (sequence != m_completed + 1 || sequence >= m_nextSequence)
            return false;
        m_completed = sequence;
        m_persistedIndex = std::max(m_persistedIndex, m_inFlightLastIndex);
        m_inFlightSavesSnapshot = false;
        return true;
    }

    /// @return The messages whose changes are durable, in order.
    std::vector<consensus_message> takeReleased()
    {
        std::vector<consensus_message> result;
        while (!m_held.empty() && m_held.front().first <= m_completed) {
            result.push_back(std::move(m_held.front().second));
            m_held.pop_front();
        }
        return result;
    }

    /// Drops everything after a write error: nothing may be acknowledged any more.
    void discard()
    {
        m_next = {};
        m_hasChanges = false;
        m_held.clear();
    }

    uint64_t completed() const { return m_completed; }
    log_index persistedIndex() const { return m_persistedIndex; }

private:
    persist_request m_next;
    bool m_hasChanges = false;
    bool m_inFlightSavesSnapshot = false;
    uint64_t m_nextSequence = 1;
    uint64_t m_completed = 0;
    log_index m_inFlightLastIndex = 0;
    log_index m_persistedIndex;
    std::deque<std::pair<uint64_t, consensus_message>> m_held;
};

} // namespace bilberryyard
