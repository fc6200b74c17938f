#pragma once

#include <Base/monotonic_time.h>
#include <Consensus/log_snapshot.h>
#include <algorithm>
#include <cstdint>
#include <deque>
#include <memory>

namespace bilberryyard {

enum class replication_mode : uint8_t {
    /// The match position is unknown; one request at a time.
    Probe,
    /// Requests are sent ahead of their responses, up to a bound.
    Pipeline,
    /// The peer needs entries that are no longer held.
    Snapshot,
};

/// What a leader knows about one other member.
struct peer_progress {
    replication_mode mode = replication_mode::Probe;
    log_index matchIndex = 0;
    log_index nextIndex = 1;
    /// Last indices of the requests without a response, in ascending order.
    std::deque<log_index> inflight;
    /// Probe and Snapshot: a request has not been answered; it is repeated with the next heartbeat.
    bool waitsForResponse = false;
    /// When the leader began to count on the peer.
    monotonic_time since;
    /// Time of sending of the latest request that was answered in this term.
    std::optional<monotonic_time> acknowledged;
    std::shared_ptr<log_snapshot const> snapshot;
    uint64_t snapshotOffset = 0;

    /// @return The last sign of life for the step-down rule.
    monotonic_time lastContact() const { return acknowledged ? std::max(*acknowledged, since) : since; }

    /// Returns to probing at a position.
    /// @param next Index of the next entry to send.
    void probeFrom(log_index next)
    {
        mode = replication_mode::Probe;
        nextIndex = next;
        inflight.clear();
        waitsForResponse = false;
        snapshot.reset();
    }

    /// Records that the peer's log matches.
    /// @param index The match position.
    void matched(log_index index)
    {
        matchIndex = std::max(matchIndex, index);
        nextIndex = std::max(nextIndex, matchIndex + 1);
        while (!inflight.empty() && inflight.front() <= matchIndex)
            inflight.pop_front();
    }
};

} // namespace bilberryyard
