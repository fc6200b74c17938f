#pragma once

#include <Base/monotonic_time.h>
#include <Consensus/log_snapshot.h>
#include <algorithm>
#include <cstdint>
#include <deque>
#include <memory>

namespace bilberryyard {

enum class replication_mode : uint8_t {
    /// The last matching index is unknown; sends one request at a time.
    Probe,
    /// Sends requests without waiting for responses, up to consensus_settings::maximumInflightAppends.
    Pipeline,
    /// The peer needs entries that are no longer in memory; sends the snapshot in chunks.
    Snapshot,
};

/// Replication state that a leader keeps for one other member.
struct peer_progress {
    replication_mode mode = replication_mode::Probe;
    /// The peer's log matches the leader's up to this index.
    log_index matchIndex = 0;
    /// Index of the next entry to send.
    log_index nextIndex = 1;
    /// Index of the last entry of each request without a response, in ascending order.
    std::deque<log_index> inflight;
    /// Probe and Snapshot: a request has no response yet. It is sent again with the next heartbeat.
    bool waitsForResponse = false;
    /// When the peer became a member or this leader was elected.
    monotonic_time trackedSince;
    /// When the latest request that the peer has responded to in this term was sent.
    std::optional<monotonic_time> acknowledgedSentAt;
    std::shared_ptr<log_snapshot const> snapshot;
    uint64_t snapshotOffset = 0;

    /// @return Time of the latest contact: the send time of the latest acknowledged request, at least trackedSince.
    monotonic_time lastContact() const
    {
        return acknowledgedSentAt ? std::max(*acknowledgedSentAt, trackedSince) : trackedSince;
    }

    /// Switches to mode Probe.
    /// @param next Index of the next entry to send.
    void probeFrom(log_index next)
    {
        mode = replication_mode::Probe;
        nextIndex = next;
        inflight.clear();
        waitsForResponse = false;
        snapshot.reset();
    }

    /// Records that the peer's log matches the leader's up to an index.
    void recordMatch(log_index index)
    {
        matchIndex = std::max(matchIndex, index);
        nextIndex = std::max(nextIndex, matchIndex + 1);
        while (!inflight.empty() && inflight.front() <= matchIndex)
            inflight.pop_front();
    }
};

} // namespace bilberryyard
