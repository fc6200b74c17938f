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

/// The stored result of one request id.
struct request_record {
    std::string requestId;
    uint64_t contentHash = 0;
    uint64_t baseRevision = 0;
    command_result result;
    auto operator<=>(request_record const&) const = default;
};

/// The bounded table of request ids and their results. It is part of the replicated state and prevents a resent command
/// from being executed twice.
///
/// A record may be removed only if a late resend of its request cannot be executed again or get a wrong result:
/// - An accepted change has a base revision below the current one. Removing its record raises the horizon above that
///   base. An unknown request id with a base below the horizon is refused, because it may have been executed before.
///   The current revision is never below the horizon, so new requests are not affected.
/// - A request that was refused and whose base is not above the current revision is refused again: if the base is the
///   current revision, the same command is applied to the same state; if it is older, the result is a conflict.
/// - A request whose base does not exist yet could be accepted once that revision is reached. Its record is kept until
///   the revision exceeds the base; such records may take up at most a quarter of the table.
class request_table {
public:
    /// @param capacity Maximum number of records; values below 4 are raised to 4.
    explicit request_table(size_t capacity);

    /// @return The record of a request id, or null.
    request_record const* find(std::string_view requestId) const;

    /// @param baseRevision Base of a request whose id is not in the table.
    /// @return Whether the request may be a resend whose record was removed.
    bool isBelowHorizon(uint64_t baseRevision) const { return baseRevision < m_horizon; }

    /// @param revision The current revision.
    /// @return Whether there is room for the record of a request whose base revision does not exist yet.
    bool hasRoomForFutureBase(uint64_t revision) const;

    /// Adds a record. When the table is full, removes the oldest record that may be removed.
    /// @param record Its request id must not be in the table.
    /// @param revision The revision after the command.
    void record(request_record record, uint64_t revision);

    /// @return All records in the order in which they were added.
    std::vector<request_record> records() const;
    uint64_t horizon() const { return m_horizon; }

    /// Replaces the contents by those of a snapshot.
    /// @param records In the order in which they were added.
    /// @return DataLoss when a request id occurs twice.
    absl::Status restore(std::vector<request_record> records, uint64_t horizon);

private:
    size_t m_capacity;
    uint64_t m_horizon = 0;
    std::map<uint64_t, request_record> m_recordsBySequence;
    std::map<std::string, uint64_t, std::less<>> m_sequenceById;
    uint64_t m_nextSequence = 0;
};

} // namespace bilberryyard
