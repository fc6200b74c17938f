#include <Routing/bucket_table.h>

#include <Base/hashing.h>
#include <algorithm>
#include <map>
#include <tuple>

namespace bilberryyard {

namespace {

    /// Assigns one index to equal witness sets.
    class witness_set_index {
    public:
        explicit witness_set_index(std::vector<witness_set>& sets)
            : m_sets(sets)
        {
            for (size_t index = 0; index < sets.size(); ++index)
                m_indices.emplace(sets[index], static_cast<uint16_t>(index));
        }

        uint16_t indexOf(witness_set const& set)
        {
            auto const [entry, inserted] = m_indices.emplace(set, static_cast<uint16_t>(m_sets.size()));
            if (inserted)
                m_sets.push_back(set);
            return entry->second;
        }

    private:
        std::vector<witness_set>& m_sets;
        std::map<witness_set, uint16_t> m_indices;
    };

    /// With more sets than this, withDelta() removes the sets that no bucket uses any more.
    constexpr size_t witnessSetPruneThreshold = 1024;

    bool isCompleteIn(witness_set const& set, witness const& candidate)
    {
        for (uint8_t group = 0; group < set.count; ++group) {
            for (uint8_t index = 0; index < set.groups[group].count; ++index) {
                auto const& value = set.groups[group].witnesses[index];
                if (value.host == candidate.host && value.incarnation == candidate.incarnation
                    && value.state == witness_state::Complete)
                    return true;
            }
        }
        return false;
    }

    witness_set trackedWitnesses(bucket_table const& table, bucket const& value)
    {
        return value.phase == bucket_phase::Tracked ? table.witnessesOf(value) : witness_set {};
    }

    // Orders two states of a bucket by stamp; the other fields make the order total.
    bool precedes(bucket const& first, witness_set const& firstSet, bucket const& second, witness_set const& secondSet)
    {
        return std::tie(first.stamp, first.current, first.base, first.phase, firstSet)
            < std::tie(second.stamp, second.current, second.base, second.phase, secondSet);
    }

} // namespace

bucket_table::bucket_table(service_id service, uint32_t bucketCount)
    : m_service(service)
    , m_buckets(bucketCount)
    , m_witnessSets(1)
{
}

bucket_table bucket_table::withDelta(table_delta const& delta) const
{
    bucket_table result = *this;
    result.m_version = std::max(m_version, delta.version);
    witness_set_index sets(result.m_witnessSets);
    for (auto const& change : delta.changes) {
        auto const set = sets.indexOf(change.witnesses);
        for (auto const index : change.buckets) {
            if (index >= result.m_buckets.size() || result.m_buckets[index].stamp > change.stamp)
                continue;
            result.m_buckets[index] = { change.current, change.base, change.phase, set, change.stamp };
        }
    }
    if (result.m_witnessSets.size() > witnessSetPruneThreshold)
        result.dropUnusedWitnessSets();
    return result;
}

bucket_table bucket_table::mergedWith(bucket_table const& other) const
{
    bucket_table result(m_service, bucketCount());
    result.m_version = std::max(m_version, other.m_version);
    witness_set_index sets(result.m_witnessSets);
    auto const count = std::min(m_buckets.size(), other.m_buckets.size());
    for (size_t index = 0; index < count; ++index) {
        auto const& local = m_buckets[index];
        auto const& remote = other.m_buckets[index];
        auto const localSet = trackedWitnesses(*this, local);
        auto const remoteSet = trackedWitnesses(other, remote);
        bool const remoteWins = precedes(local, localSet, remote, remoteSet);
        auto value = remoteWins ? remote : local;
        if (value.base == noServer)
            value.base = remoteWins ? local.base : remote.base;
        auto const& loser = remoteWins ? local : remote;
        // The losing side first assigned the bucket without the full view. Its flows have explicit entries, which
        // settling on the winning side did not take into account, so the bucket must be tracked.
        if (loser.phase == bucket_phase::Tracked && loser.base == noServer && loser.current != value.current)
            value.phase = bucket_phase::Tracked;
        // Otherwise no host has explicit entries left for a bucket that the winner settled, so the loser's witness
        // groups are void.
        if (value.phase == bucket_phase::Tracked)
            value.witnessSet
                = sets.indexOf(remoteWins ? joinWitnesses(remoteSet, localSet) : joinWitnesses(localSet, remoteSet));
        else
            value.witnessSet = 0;
        result.m_buckets[index] = value;
    }
    return result;
}

witness_set bucket_table::joinWitnesses(witness_set const& first, witness_set const& second)
{
    witness_set result = first;
    for (uint8_t index = 0; index < second.count; ++index) {
        witness_group rest;
        for (uint8_t position = 0; position < second.groups[index].count; ++position) {
            auto const& value = second.groups[index].witnesses[position];
            if (value.state == witness_state::Complete && !isCompleteIn(result, value))
                rest.witnesses[rest.count++] = value;
        }
        // FIXME: After more than maximumWitnessGroups partitions without a settled state in between, the
        // oldest groups are lost.
        if (rest.count > 0 && result.count < maximumWitnessGroups)
            result.groups[result.count++] = rest;
    }
    return result;
}

uint64_t bucket_table::digest() const
{
    uint64_t result = hashPair(m_service.value, m_buckets.size());
    for (auto const& value : m_buckets) {
        uint64_t const servers = uint64_t { value.current.value } << 32 | value.base.value;
        uint64_t const stamp = hashPair(value.stamp.counter, value.stamp.author.value);
        result = hashPair(hashPair(result, servers), hashPair(stamp, static_cast<uint64_t>(value.phase)));
        if (value.phase == bucket_phase::Stable)
            continue;
        auto const& set = m_witnessSets[value.witnessSet];
        for (uint8_t group = 0; group < set.count; ++group) {
            result = hashPair(result, group);
            for (uint8_t index = 0; index < set.groups[group].count; ++index) {
                auto const& member = set.groups[group].witnesses[index];
                uint64_t const peer = uint64_t { member.host.value } << 32 | member.incarnation;
                result = hashPair(hashPair(result, peer), static_cast<uint64_t>(member.state));
            }
        }
    }
    return result;
}

void bucket_table::dropUnusedWitnessSets()
{
    std::vector<witness_set> const sets = std::move(m_witnessSets);
    m_witnessSets.assign(1, {});
    witness_set_index indices(m_witnessSets);
    for (auto& value : m_buckets)
        value.witnessSet = value.phase == bucket_phase::Tracked ? indices.indexOf(sets[value.witnessSet]) : 0;
}

table_delta bucket_table::snapshot() const
{
    using change_key = std::tuple<server_id, server_id, bucket_phase, uint16_t, table_stamp>;
    std::map<change_key, std::vector<uint32_t>> grouped;
    for (uint32_t index = 0; index < m_buckets.size(); ++index) {
        auto const& value = m_buckets[index];
        grouped[{ value.current, value.base, value.phase, value.witnessSet, value.stamp }].push_back(index);
    }
    table_delta result { m_service, m_version, {} };
    for (auto& [key, buckets] : grouped) {
        auto const& [current, base, phase, set, stamp] = key;
        result.changes.push_back({ current, base, phase, m_witnessSets[set], stamp, std::move(buckets) });
    }
    return result;
}

} // namespace bilberryyard
