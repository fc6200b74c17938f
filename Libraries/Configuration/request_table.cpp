#include <Configuration/request_table.h>

#include <algorithm>
#include <utility>

namespace bilberryyard {

namespace {

    // Whether a request was refused because its base revision did not exist, and could still be accepted at the current
    // revision or a later one if its record were removed.
    bool isFutureBase(request_record const& record, uint64_t revision)
    {
        return !record.result.isAccepted() && record.baseRevision > record.result.revision
            && record.baseRevision >= revision;
    }

} // namespace

request_table::request_table(size_t capacity)
    : m_capacity(std::max<size_t>(4, capacity))
{
}

request_record const* request_table::find(std::string_view requestId) const
{
    auto const sequence = m_sequenceById.find(requestId);
    return sequence == m_sequenceById.end() ? nullptr : &m_recordsBySequence.at(sequence->second);
}

bool request_table::hasRoomForFutureBase(uint64_t revision) const
{
    auto const count = std::count_if(m_recordsBySequence.begin(), m_recordsBySequence.end(),
        [&](auto const& entry) { return isFutureBase(entry.second, revision); });
    return static_cast<size_t>(count) < m_capacity / 4;
}

void request_table::record(request_record record, uint64_t revision)
{
    m_sequenceById.emplace(record.requestId, m_nextSequence);
    m_recordsBySequence.emplace(m_nextSequence++, std::move(record));
    while (m_recordsBySequence.size() > m_capacity) {
        auto const oldest = std::find_if(m_recordsBySequence.begin(), m_recordsBySequence.end(),
            [&](auto const& entry) { return !isFutureBase(entry.second, revision); });
        if (oldest == m_recordsBySequence.end())
            return;
        auto const& removed = oldest->second;
        if (removed.result.isAccepted() && removed.baseRevision < removed.result.revision)
            m_horizon = std::max(m_horizon, removed.baseRevision + 1);
        m_sequenceById.erase(removed.requestId);
        m_recordsBySequence.erase(oldest);
    }
}

std::vector<request_record> request_table::records() const
{
    std::vector<request_record> records;
    records.reserve(m_recordsBySequence.size());
    for (auto const& [sequence, record] : m_recordsBySequence)
        records.push_back(record);
    return records;
}

absl::Status request_table::restore(std::vector<request_record> records, uint64_t horizon)
{
    request_table restored(m_capacity);
    restored.m_horizon = horizon;
    for (auto& record : records) {
        if (!restored.m_sequenceById.emplace(record.requestId, restored.m_nextSequence).second)
            return makeError(error_kind::DataLoss, "the snapshot contains request id " + record.requestId + " twice");
        restored.m_recordsBySequence.emplace(restored.m_nextSequence++, std::move(record));
    }
    *this = std::move(restored);
    return absl::OkStatus();
}

} // namespace bilberryyard
