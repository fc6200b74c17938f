#include <Configuration/request_table.h>

#include <algorithm>
#include <utility>

namespace bilberryyard {

namespace {

    // The record of an attempt whose base revision did not exist yet must outlast that revision.
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
    auto const order = m_orders.find(requestId);
    return order == m_orders.end() ? nullptr : &m_records.at(order->second);
}

bool request_table::hasRoomForFutureBase(uint64_t revision) const
{
    auto const count = std::count_if(
        m_records.begin(), m_records.end(), [&](auto const& entry) { return isFutureBase(entry.second, revision); });
    return static_cast<size_t>(count) < m_capacity / 4;
}

void request_table::record(request_record record, uint64_t revision)
{
    m_orders.emplace(record.requestId, m_nextOrder);
    m_records.emplace(m_nextOrder++, std::move(record));
    while (m_records.size() > m_capacity) {
        auto const oldest = std::find_if(m_records.begin(), m_records.end(),
            [&](auto const& entry) { return !isFutureBase(entry.second, revision); });
        if (oldest == m_records.end())
            return;
        auto const& dropped = oldest->second;
        if (dropped.result.isAccepted() && dropped.baseRevision < dropped.result.revision)
            m_horizon = std::max(m_horizon, dropped.baseRevision + 1);
        m_orders.erase(dropped.requestId);
        m_records.erase(oldest);
    }
}

std::vector<request_record> request_table::records() const
{
    std::vector<request_record> records;
    records.reserve(m_records.size());
    for (auto const& [order, record] : m_records)
        records.push_back(record);
    return records;
}

absl::Status request_table::restore(std::vector<request_record> records, uint64_t horizon)
{
    request_table restored(m_capacity);
    restored.m_horizon = horizon;
    for (auto& record : records) {
        if (!restored.m_orders.emplace(record.requestId, restored.m_nextOrder).second)
            return makeError(error_kind::DataLoss, "the snapshot holds request id " + record.requestId + " twice");
        restored.m_records.emplace(restored.m_nextOrder++, std::move(record));
    }
    *this = std::move(restored);
    return absl::OkStatus();
}

} // namespace bilberryyard
