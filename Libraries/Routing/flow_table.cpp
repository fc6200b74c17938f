#include <Routing/flow_table.h>

namespace bilberryyard {

namespace {

    // The default number of buckets of a table; with 500,000 flows a segment takes 3 KB.
    constexpr size_t segmentCount = 4096;
    constexpr std::chrono::milliseconds minimumEvictionAge { 1'000 };

} // namespace

flow_table::flow_table(size_t maximumFlows)
    : m_maximumFlows(maximumFlows)
    , m_segments(segmentCount)
{
}

flow_entry* flow_table::put(flow_entry const& entry, flow_tick now)
{
    auto& segment = segmentOf(entry.hash);
    if (auto* existing = segment.find(entry.id())) {
        setServer(*existing, entry.server);
        *existing = entry;
        return existing;
    }
    if (m_size >= m_maximumFlows && !evictHandshake(segment, now))
        return nullptr;
    ++m_size;
    ++m_serverCounts[entry.server];
    return &segment.insert(entry);
}

void flow_table::setServer(flow_entry& entry, server_id server)
{
    if (entry.server == server)
        return;
    decrementServerCount(entry.server);
    ++m_serverCounts[server];
    entry.server = server;
}

void flow_table::erase(flow_id const& id)
{
    auto& segment = segmentOf(id.hash);
    if (auto const* entry = segment.find(id))
        eraseEntry(segment, segment.slotOf(*entry));
}

void flow_table::eraseBucket(uint16_t service, uint32_t bucketCount, uint32_t bucket)
{
    for (size_t index = bucket % m_segments.size(); index < m_segments.size(); index += bucketCount) {
        eraseIf(m_segments[index], [&](flow_entry const& entry) {
            return entry.service == service && (entry.hash & (bucketCount - 1)) == bucket;
        });
    }
}

size_t flow_table::countOf(server_id server) const
{
    auto const found = m_serverCounts.find(server);
    return found == m_serverCounts.end() ? 0 : found->second;
}

size_t flow_table::memoryBytes() const
{
    // Size of a node of m_serverCounts: key, value, next pointer and the allocator's header.
    constexpr size_t nodeBytes = 32;
    size_t bytes = sizeof(*this) + m_segments.capacity() * sizeof(flow_segment) + m_serverCounts.size() * nodeBytes
        + m_serverCounts.bucket_count() * sizeof(void*);
    for (auto const& segment : m_segments)
        bytes += segment.memoryBytes();
    return bytes;
}

void flow_table::eraseEntry(flow_segment& segment, size_t slot)
{
    decrementServerCount(segment.at(slot).server);
    segment.eraseSlot(slot);
    --m_size;
}

void flow_table::decrementServerCount(server_id server)
{
    auto const counted = m_serverCounts.find(server);
    if (--counted->second == 0)
        m_serverCounts.erase(counted);
}

bool flow_table::evictHandshake(flow_segment& segment, flow_tick now)
{
    flow_entry const* oldest = nullptr;
    for (size_t slot = 0; slot < segment.slotCount(); ++slot) {
        auto const& entry = segment.at(slot);
        if (entry.state != flow_state::Handshaking || elapsed(entry.lastSeen, now) < minimumEvictionAge)
            continue;
        if (!oldest || elapsed(entry.lastSeen, now) > elapsed(oldest->lastSeen, now))
            oldest = &entry;
    }
    if (!oldest)
        return false;
    eraseEntry(segment, segment.slotOf(*oldest));
    return true;
}

} // namespace bilberryyard
