#pragma once

#include <Routing/bucket_table.h>
#include <Routing/witness_selector.h>
#include <cstdint>
#include <map>
#include <vector>

namespace bilberryyard {

/// A bucket that is to get another server.
struct bucket_move {
    uint32_t index = 0;
    server_id server = noServer;
    auto operator<=>(bucket_move const&) const = default;
};

/// Chooses which buckets move so that each server has its quota. Only buckets above a quota move. Among
/// those of one server it prefers moves that need no first rollout phase, and otherwise buckets that share
/// witnesses, because equal changes share their encoding.
class move_selector {
public:
    /// @param table The table.
    /// @param owners Per bucket the server that it has or is moving to.
    /// @param quotas Buckets for each accepting server; not empty.
    /// @param witnesses Tells the witnesses that a stable bucket would get.
    move_selector(bucket_table const& table, std::vector<server_id> const& owners,
        std::map<server_id, uint32_t> const& quotas, witness_selector const& witnesses);

    /// @return Moves of the buckets whose server takes no new flows.
    std::vector<bucket_move> forcedMoves();

    /// @param limit Largest number of moves.
    /// @return Moves from servers above their quota to servers below it. Call after forcedMoves().
    std::vector<bucket_move> balancingMoves(uint32_t limit);

private:
    uint32_t deficitOf(server_id server) const;
    void take(uint32_t index, server_id server, std::vector<bucket_move>& moves);
    uint64_t witnessKey(uint32_t index, server_id receiver) const;
    std::vector<uint32_t> preferred(std::vector<uint32_t> buckets, server_id receiver, uint32_t count) const;

    bucket_table const& m_table;
    std::vector<server_id> m_owners;
    std::map<server_id, uint32_t> const& m_quotas;
    witness_selector const& m_witnesses;
    std::map<server_id, uint32_t> m_counts;
};

} // namespace bilberryyard
