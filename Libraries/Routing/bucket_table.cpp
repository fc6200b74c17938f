#include <Routing/bucket_table.h>

#include <algorithm>
#include <map>
#include <tuple>

namespace bilberryyard {

namespace {

    /// Gives equal witness sets one shared index.
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

    bool hasGroup(witness_set const& set, witness_group const& group)
    {
        return std::find(set.groups.begin(), set.groups.begin() + set.count, group) != set.groups.begin() + set.count;
    }

    witness_set unionOf(witness_set const& first, witness_set const& second)
    {
        witness_set result = first;
        for (uint8_t index = 0; index < second.count; ++index) {
            if (result.count < maximumWitnessGroups && !hasGroup(result, second.groups[index]))
                result.groups[result.count++] = second.groups[index];
        }
        return result;
    }

    witness_set trackedWitnesses(bucket_table const& table, bucket const& value)
    {
        return value.phase == bucket_phase::Tracked ? table.witnessesOf(value) : witness_set {};
    }

    // Orders two states of a bucket. Stamps decide; the other fields make the order total.
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
    return result;
}

bucket_table bucket_table::mergedWith(bucket_table const& other) const
{
    bucket_table result(m_service, bucketCount());
    result.m_version = std::max(m_version, other.m_version);
    witness_set_index sets(result.m_witnessSets);
    auto const count = std::min(m_buckets.size(), other.m_buckets.size());
    for (size_t index = 0; index < count; ++index) {
        auto const& mine = m_buckets[index];
        auto const& theirs = other.m_buckets[index];
        auto const mineSet = trackedWitnesses(*this, mine);
        auto const theirsSet = trackedWitnesses(other, theirs);
        bool const theirsWins = precedes(mine, mineSet, theirs, theirsSet);
        auto value = theirsWins ? theirs : mine;
        // A winner that settled has no explicit entries left anywhere, so the loser's groups are void.
        if (value.phase == bucket_phase::Tracked)
            value.witnessSet = sets.indexOf(theirsWins ? unionOf(theirsSet, mineSet) : unionOf(mineSet, theirsSet));
        else
            value.witnessSet = 0;
        result.m_buckets[index] = value;
    }
    return result;
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
