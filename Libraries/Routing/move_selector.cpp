#include <Routing/move_selector.h>

#include <Base/hashing.h>
#include <algorithm>
#include <tuple>

namespace bilberryyard {

move_selector::move_selector(bucket_table const& table, std::vector<server_id> const& owners,
    std::map<server_id, uint32_t> const& quotas, witness_selector const& witnesses)
    : m_table(table)
    , m_owners(owners)
    , m_quotas(quotas)
    , m_witnesses(witnesses)
{
    for (auto const owner : owners)
        ++m_counts[owner];
}

std::vector<bucket_move> move_selector::forcedMoves()
{
    std::vector<uint32_t> forced;
    std::vector<bucket_move> moves;
    for (uint32_t index = 0; index < m_owners.size(); ++index) {
        if (m_quotas.contains(m_owners[index]))
            continue;
        // A bucket that returns to its base can settle without waiting for flows to end.
        auto const base = m_table.at(index).base;
        if (deficitOf(base) > 0)
            addMove(index, base, moves);
        else
            forced.push_back(index);
    }
    auto const isAssigned = [&](uint32_t index) { return m_table.at(index).current != noServer; };
    std::map<uint32_t, uint64_t> keys;
    for (auto const index : forced)
        keys[index] = isAssigned(index) ? witnessKey(index, noServer) : 0;
    std::sort(forced.begin(), forced.end(), [&](uint32_t first, uint32_t second) {
        return std::pair(keys[first], first) < std::pair(keys[second], second);
    });
    auto receiver = m_quotas.begin();
    for (auto const index : forced) {
        while (receiver != m_quotas.end() && deficitOf(receiver->first) == 0)
            ++receiver;
        if (receiver == m_quotas.end())
            break;
        addMove(index, receiver->first, moves);
    }
    return moves;
}

std::vector<bucket_move> move_selector::balancingMoves(uint32_t maximumMoves)
{
    std::vector<bucket_move> moves;
    std::vector<server_id> receivers;
    std::map<server_id, std::vector<uint32_t>> donors;
    for (auto const& [server, quota] : m_quotas) {
        if (deficitOf(server) > 0)
            receivers.push_back(server);
        else if (m_counts[server] > quota)
            donors[server];
    }
    if (receivers.empty() || maximumMoves == 0)
        return moves;
    for (uint32_t index = 0; index < m_owners.size(); ++index) {
        if (auto const donor = donors.find(m_owners[index]); donor != donors.end())
            donor->second.push_back(index);
    }
    for (auto const receiver : receivers) {
        for (auto& [server, buckets] : donors) {
            auto const donor = server;
            uint32_t const surplus = m_counts[donor] - std::min(m_counts[donor], m_quotas.at(donor));
            auto const room = maximumMoves - static_cast<uint32_t>(moves.size());
            auto const count = std::min({ surplus, deficitOf(receiver), room });
            if (count == 0)
                continue;
            for (auto const index : preferredBuckets(buckets, receiver, count))
                addMove(index, receiver, moves);
            std::erase_if(buckets, [&](uint32_t index) { return m_owners[index] != donor; });
        }
    }
    return moves;
}

uint32_t move_selector::deficitOf(server_id server) const
{
    auto const quota = m_quotas.find(server);
    if (quota == m_quotas.end())
        return 0;
    auto const count = m_counts.find(server);
    uint32_t const owned = count == m_counts.end() ? 0 : count->second;
    return quota->second > owned ? quota->second - owned : 0;
}

void move_selector::addMove(uint32_t index, server_id server, std::vector<bucket_move>& moves)
{
    --m_counts[m_owners[index]];
    ++m_counts[server];
    m_owners[index] = server;
    moves.push_back({ index, server });
}

uint64_t move_selector::witnessKey(uint32_t index, server_id receiver) const
{
    auto const& value = m_table.at(index);
    auto const set = value.phase == bucket_phase::Tracked ? m_table.witnessesOf(value) : m_witnesses.select(index);
    uint64_t key = receiver.value;
    for (uint8_t position = 0; position < set.groups[0].count; ++position)
        key = hashPair(key, set.groups[0].witnesses[position].host.value);
    return key;
}

std::vector<uint32_t> move_selector::preferredBuckets(
    std::vector<uint32_t> buckets, server_id receiver, uint32_t count) const
{
    std::map<uint32_t, std::tuple<int, uint64_t>> ranks;
    for (auto const index : buckets) {
        auto const& value = m_table.at(index);
        bool const isTracked = value.phase == bucket_phase::Tracked;
        // In ascending order: a move in progress is cancelled, the bucket returns to its base, a move in progress gets
        // another destination, the bucket is already tracked, the bucket is stable.
        int rank = 4;
        if (value.current == receiver)
            rank = 0;
        else if (isTracked && value.base == receiver)
            rank = 1;
        else if (value.current != m_owners[index])
            rank = 2;
        else if (isTracked)
            rank = 3;
        ranks[index] = { rank, rank >= 3 ? witnessKey(index, receiver) : 0 };
    }
    std::sort(buckets.begin(), buckets.end(), [&](uint32_t first, uint32_t second) {
        return std::pair(ranks[first], first) < std::pair(ranks[second], second);
    });
    buckets.resize(std::min<size_t>(buckets.size(), count));
    return buckets;
}

} // namespace bilberryyard
