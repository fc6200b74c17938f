#include <Coordination/witness_filler.h>

#include <algorithm>
#include <utility>

namespace bilberryyard {

namespace {

    // Bounds the size of a request to 512 bucket indices of at most 2 bytes.
    constexpr size_t maximumBucketsPerTransfer = 512;
    constexpr std::chrono::seconds reportRepeatInterval { 5 };

    bool isFillingWitness(witness_group const& group, routed_peer self)
    {
        return std::any_of(group.witnesses.begin(), group.witnesses.begin() + group.count, [&](witness const& value) {
            return value.host == self.host && value.incarnation == self.incarnation
                && value.state == witness_state::Filling;
        });
    }

    std::optional<host_id> completeWitness(witness_group const& group)
    {
        for (uint8_t index = 0; index < group.count; ++index) {
            if (group.witnesses[index].state == witness_state::Complete)
                return group.witnesses[index].host;
        }
        return std::nullopt;
    }

} // namespace

witness_filler::witness_filler(coordinator_settings const& settings)
    : m_settings(settings)
{
}

void witness_filler::update(bucket_table const& table)
{
    auto const service = table.service();
    auto& fetched = m_fetched[service];
    std::map<host_id, std::vector<uint32_t>> bucketsBySource;
    std::vector<uint32_t> stillFilling;
    for (uint32_t index = 0; index < table.bucketCount(); ++index) {
        auto const& value = table.at(index);
        if (value.phase != bucket_phase::Tracked)
            continue;
        auto const& set = table.witnessesOf(value);
        for (uint8_t group = 0; group < set.count; ++group) {
            if (!isFillingWitness(set.groups[group], m_settings.self))
                continue;
            if (std::binary_search(fetched.begin(), fetched.end(), index))
                stillFilling.push_back(index);
            else if (auto const source = completeWitness(set.groups[group]))
                bucketsBySource[*source].push_back(index);
            break;
        }
    }
    // A bucket that is no longer being filled may be filled again later by another transfer.
    fetched = std::move(stillFilling);
    auto const previous = m_transfers;
    std::erase_if(m_transfers, [&](transfer const& value) { return value.service == service; });
    for (auto& [source, buckets] : bucketsBySource)
        addTransfer(service, source, std::move(buckets));
    for (auto& value : m_transfers) {
        auto const same = std::find_if(previous.begin(), previous.end(), [&](transfer const& old) {
            return old.service == value.service && old.source == value.source && old.buckets == value.buckets;
        });
        if (same != previous.end())
            value.cursor = same->cursor;
    }
}

void witness_filler::addTransfer(service_id service, host_id source, std::vector<uint32_t> buckets)
{
    for (size_t start = 0; start < buckets.size(); start += maximumBucketsPerTransfer) {
        auto const end = std::min(buckets.size(), start + maximumBucketsPerTransfer);
        m_transfers.push_back({ service, source,
            { buckets.begin() + static_cast<std::ptrdiff_t>(start),
                buckets.begin() + static_cast<std::ptrdiff_t>(end) },
            {} });
    }
}

void witness_filler::remove(service_id service)
{
    std::erase_if(m_transfers, [service](transfer const& value) { return value.service == service; });
    m_fetched.erase(service);
}

std::vector<outgoing_message> witness_filler::step(monotonic_time now)
{
    if (m_transfers.empty() || (m_requestedAt && now - *m_requestedAt < m_settings.fillInterval))
        return {};
    m_requestedAt = now;
    auto const& active = m_transfers.front();
    return { { active.source, { m_settings.self, fill_request { active.service, active.buckets, active.cursor } } } };
}

std::optional<import_command> witness_filler::receive(host_id sender, fill_response const& response)
{
    if (m_transfers.empty())
        return std::nullopt;
    auto& active = m_transfers.front();
    if (active.source != sender || active.service != response.service || active.cursor != response.cursor)
        return std::nullopt;
    active.cursor = response.batch.next;
    import_command result { response.service, response.batch.flows };
    if (!response.batch.done)
        return result;
    auto& fetched = m_fetched[response.service];
    fetched.insert(fetched.end(), active.buckets.begin(), active.buckets.end());
    std::sort(fetched.begin(), fetched.end());
    m_filled.push_back({ response.service, m_settings.self, active.buckets });
    m_transfers.erase(m_transfers.begin());
    return result;
}

std::vector<filled_report> witness_filler::drainFilledReports(monotonic_time now)
{
    auto result = std::exchange(m_filled, {});
    if (!m_reportedAt)
        m_reportedAt = now;
    if (now - *m_reportedAt < reportRepeatInterval)
        return result;
    m_reportedAt = now;
    for (auto const& [service, buckets] : m_fetched) {
        if (!buckets.empty())
            result.push_back({ service, m_settings.self, buckets });
    }
    return result;
}

} // namespace bilberryyard
