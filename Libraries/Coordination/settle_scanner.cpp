#include <Coordination/settle_scanner.h>

#include <algorithm>

namespace bilberryyard {

namespace {

    constexpr std::chrono::seconds commandInterval { 10 };

    bool isCompleteWitness(witness_set const& set, routed_peer self)
    {
        for (uint8_t group = 0; group < set.count; ++group) {
            auto const& witnesses = set.groups[group].witnesses;
            auto const end = witnesses.begin() + set.groups[group].count;
            if (std::find(witnesses.begin(), end, witness { self.host, self.incarnation, witness_state::Complete })
                != end)
                return true;
        }
        return false;
    }

} // namespace

settle_scanner::settle_scanner(routed_peer self, uint32_t bucketsPerStep)
    : m_self(self)
    , m_bucketsPerStep(bucketsPerStep)
{
}

std::vector<settle_command> settle_scanner::step(
    bucket_table const& table, std::chrono::milliseconds flowIdleTimeout, monotonic_time now)
{
    m_history.resize(table.bucketCount(), { {}, now, std::nullopt });
    std::map<table_stamp, std::vector<uint32_t>> candidates;
    for (uint32_t visited = 0; visited < std::min(m_bucketsPerStep, table.bucketCount()); ++visited) {
        auto const index = m_next;
        m_next = (m_next + 1) % table.bucketCount();
        auto const& value = table.at(index);
        auto& history = m_history[index];
        if (history.stamp != value.stamp)
            history = { value.stamp, now, std::nullopt };
        if (value.phase != bucket_phase::Tracked || now - history.unchangedSince < flowIdleTimeout
            || !isCompleteWitness(table.witnessesOf(value), m_self))
            continue;
        if (history.lastCommandAt && now - *history.lastCommandAt < commandInterval)
            continue;
        history.lastCommandAt = now;
        candidates[value.stamp].push_back(index);
    }
    std::vector<settle_command> commands;
    for (auto& [stamp, buckets] : candidates) {
        std::sort(buckets.begin(), buckets.end());
        commands.push_back({ table.service(), stamp, std::move(buckets) });
    }
    return commands;
}

} // namespace bilberryyard
