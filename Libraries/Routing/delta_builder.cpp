#include <Routing/delta_builder.h>

#include <algorithm>

namespace bilberryyard {

namespace {

    /// Message type, service, version and the lengths of the three dictionaries.
    constexpr uint64_t headerBytes = 16;

    uint64_t varintBytes(uint64_t value)
    {
        uint64_t bytes = 1;
        for (; value >= 128; value >>= 7)
            ++bytes;
        return bytes;
    }

    uint64_t stampBytes(table_stamp const& stamp)
    {
        return varintBytes(stamp.counter) + varintBytes(stamp.author.value);
    }

    uint64_t witnessSetBytes(witness_set const& set)
    {
        uint64_t bytes = 1;
        for (uint8_t group = 0; group < set.count; ++group) {
            ++bytes;
            for (uint8_t index = 0; index < set.groups[group].count; ++index) {
                auto const& member = set.groups[group].witnesses[index];
                // The state is the low bit of the host.
                bytes += varintBytes(uint64_t { member.host.value } << 1) + varintBytes(member.incarnation);
            }
        }
        return bytes;
    }

    uint64_t bucketBytes(std::vector<uint32_t> const& buckets)
    {
        uint64_t gaps = 0;
        uint64_t runs = 0;
        uint32_t previous = 0;
        uint32_t runLength = 0;
        for (auto const index : buckets) {
            gaps += varintBytes(index - previous);
            if (runLength > 0 && index == previous + 1) {
                ++runLength;
            } else {
                runs += (runLength > 0 ? varintBytes(runLength) : 0) + varintBytes(index - previous);
                runLength = 1;
            }
            previous = index;
        }
        return varintBytes(buckets.size() << 1) + std::min(gaps, runs + varintBytes(runLength));
    }

    /// Three dictionary indices and the phase.
    uint64_t changeBytes(size_t servers, size_t sets) { return 2 * varintBytes(servers) + varintBytes(sets) + 2; }

} // namespace

uint64_t estimateDeltaBytes(table_delta const& delta)
{
    std::set<server_id> servers;
    std::set<witness_set> sets;
    std::set<table_stamp> stamps;
    for (auto const& change : delta.changes) {
        servers.insert({ change.current, change.base });
        sets.insert(change.witnesses);
        stamps.insert(change.stamp);
    }
    uint64_t bytes = headerBytes;
    for (auto const& server : servers)
        bytes += varintBytes(server.value);
    for (auto const& set : sets)
        bytes += witnessSetBytes(set);
    for (auto const& stamp : stamps)
        bytes += stampBytes(stamp);
    for (auto const& change : delta.changes) {
        bytes += changeBytes(servers.size(), sets.size()) + bucketBytes(change.buckets);
        if (stamps.size() > 1)
            bytes += varintBytes(stamps.size());
    }
    return bytes;
}

delta_builder::delta_builder(service_id service, uint64_t version, table_stamp stamp)
    : m_service(service)
    , m_version(version)
    , m_stamp(stamp)
    , m_bytes(headerBytes + stampBytes(stamp))
{
}

uint64_t delta_builder::costOf(bucket const& value, witness_set const& witnesses, uint32_t index) const
{
    uint64_t bytes = 0;
    for (auto const server : { value.current, value.base })
        bytes += m_servers.contains(server) ? 0 : varintBytes(server.value);
    if (!m_sets.contains(witnesses))
        bytes += witnessSetBytes(witnesses);
    auto const change = m_changes.find({ value.current, value.base, value.phase, witnesses });
    if (change == m_changes.end())
        return bytes + changeBytes(m_servers.size(), m_sets.size()) + 4;
    auto const next = change->second.upper_bound(index);
    bool const continuesRun = next != change->second.begin() && *std::prev(next) + 1 == index;
    return bytes + (continuesRun ? 0 : 2);
}

void delta_builder::add(bucket const& value, witness_set const& witnesses, uint32_t index)
{
    m_bytes += costOf(value, witnesses, index);
    m_servers.insert({ value.current, value.base });
    m_sets.insert(witnesses);
    m_changes[{ value.current, value.base, value.phase, witnesses }].insert(index);
}

table_delta delta_builder::build() const
{
    table_delta result { m_service, m_version, {} };
    for (auto const& [key, buckets] : m_changes) {
        auto const& [current, base, phase, witnesses] = key;
        result.changes.push_back({ current, base, phase, witnesses, m_stamp, { buckets.begin(), buckets.end() } });
    }
    return result;
}

} // namespace bilberryyard
