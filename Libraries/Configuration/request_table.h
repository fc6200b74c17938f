#pragma once

#include <Configuration/command_result.h>
#include <absl/status/status.h>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bilberryyard {

/// The recorded outcome of one request id.
struct request_record {
    std::string requestId;
    uint64_t contentHash = 0;
    uint64_t baseRevision = 0;
    command_result result;
    auto operator<=>(request_record const&) const = default;
};

/// The bounded table of request ids. It is part of the replicated state.
///
/// A record may be dropped only if a late resend of it can still not be executed or be answered wrongly:
/// - A change that was accepted has a base revision below the current one. Dropping its record raises
///   the horizon above that base, and an unknown request id with a base below the horizon is answered with
///   "outcome unknown". The current revision is never below the horizon, so new requests are not affected.
/// - A request that was refused with a base up to the current revision is refused again: either the base
///   is the current revision, and the same command meets the same state, or it is older, which is a conflict.
/// - A request whose base does not exist yet could be accepted once that revision is reached. Its record is
///   kept until the revision has passed the base; a quarter of the table is open to such records.
class request_table {
public:
    /// @param capacity Largest number of records; at least 4.
    explicit request_table(size_t capacity);

    /// @param requestId A request id.
    /// @return Its record, or null.
    request_record const* find(std::string_view requestId) const;

    /// @param baseRevision Base of a request whose id is not in the table.
    /// @return Whether the request may be a resend whose record was dropped.
    bool isBelowHorizon(uint64_t baseRevision) const { return baseRevision < m_horizon; }

    /// @param revision The current revision.
    /// @return Whether a request with a base after the revision can be recorded.
    bool hasRoomForFutureBase(uint64_t revision) const;

    /// Records an outcome and drops the oldest record that may be dropped when the table is full.
    /// @param record The outcome; its id is not in the table.
    /// @param revision The revision after the command.
    void record(request_record record, uint64_t revision);

    /// @return Records in the order in which they were made.
    std::vector<request_record> records() const;
    uint64_t horizon() const { return m_horizon; }

    /// Replaces the contents by those of a snapshot.
    /// @param records Records in the order in which they were made.
    /// @param horizon Horizon of the snapshot.
    /// @return DataLoss when an id occurs twice.
    absl::Status restore(std::vector<request_record> records, uint64_t horizon);

private:
    size_t m_capacity;
    uint64_t m_horizon = 0;
    // Records by the order in which they were made, and the order of each id.
    std::map<uint64_t, request_record> m_records;
    std::map<std::string, uint64_t, std::less<>> m_orders;
    uint64_t m_nextOrder = 0;
};

} // namespace bilberryyard
