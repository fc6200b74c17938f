#pragma once

#include <Consensus/consensus_action.h>
#include <algorithm>
#include <deque>
#include <utility>

namespace bilberryyard {

/// Combines the changes of a member's durable state into one persist_request at a time, and delays the messages that
/// depend on changes that are not durable yet.
class persist_queue {
public:
    /// @param persistedIndex Index of the last durable log entry.
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

    /// @param index Entries from this index on are removed from the log.
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

    /// @return Whether a snapshot is queued or being written.
    bool hasPendingSnapshot() const { return m_next.snapshot != nullptr || m_inFlightHasSnapshot; }

    /// @return Sequence number of the request whose completion makes all changes so far durable.
    uint64_t dependency() const { return m_hasChanges ? m_nextSequence : m_nextSequence - 1; }

    /// Delays a message until all changes so far are durable.
    void holdUntilDurable(consensus_message message) { m_heldMessages.emplace_back(dependency(), std::move(message)); }

    /// @param lastIndex Index of the last entry of the log.
    /// @return The next request; nullopt if there are no changes or a request is outstanding.
    std::optional<persist_request> nextRequest(log_index lastIndex)
    {
        if (!m_hasChanges || m_nextSequence != m_completed + 1)
            return std::nullopt;
        m_hasChanges = false;
        m_inFlightLastIndex = lastIndex;
        m_inFlightHasSnapshot = m_next.snapshot != nullptr;
        m_next.sequence = m_nextSequence++;
        return std::exchange(m_next, {});
    }

    /// Records that a request is durable.
    /// @return Whether the request was outstanding.
    bool complete(uint64_t sequence)
    {
        if (sequence != m_completed + 1 || sequence >= m_nextSequence)
            return false;
        m_completed = sequence;
        m_persistedIndex = std::max(m_persistedIndex, m_inFlightLastIndex);
        m_inFlightHasSnapshot = false;
        return true;
    }

    /// @return The delayed messages whose changes are durable, in order.
    std::vector<consensus_message> drainReleased()
    {
        std::vector<consensus_message> result;
        while (!m_heldMessages.empty() && m_heldMessages.front().first <= m_completed) {
            result.push_back(std::move(m_heldMessages.front().second));
            m_heldMessages.pop_front();
        }
        return result;
    }

    /// Discards all changes and messages after a write error, because nothing may be acknowledged any longer.
    void discard()
    {
        m_next = {};
        m_hasChanges = false;
        m_heldMessages.clear();
    }

    /// @return Sequence number of the last completed request.
    uint64_t completed() const { return m_completed; }
    log_index persistedIndex() const { return m_persistedIndex; }

private:
    persist_request m_next;
    bool m_hasChanges = false;
    bool m_inFlightHasSnapshot = false;
    uint64_t m_nextSequence = 1;
    uint64_t m_completed = 0;
    log_index m_inFlightLastIndex = 0;
    log_index m_persistedIndex;
    std::deque<std::pair<uint64_t, consensus_message>> m_heldMessages;
};

} // namespace bilberryyard
