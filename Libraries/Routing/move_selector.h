#pragma once

#include <Routing/bucket_table.h>
#include <Routing/witness_selector.h>
#include <cstdint>
#include <map>
#include <vector>

namespace bilberryyard {

/// A bucket that must move to another server.
struct bucket_move {
    uint32_t index = 0;
    server_id server = noServer;
    auto operator<=>(bucket_move const&) const = default;
};

/// Chooses which buckets move so that each server has its quota. Only buckets of servers above their quota move. Among
/// the buckets of one server it prefers those that need no first rollout phase, and after them buckets with the same
/// witnesses, because equal changes are encoded once.
class move_selector {
public:
    /// @param table Must outlive the selector.
    /// @param owners For each bucket the server that it moves to or, without a move in progress, its current one.
    /// @param quotas Number of buckets for each accepting server. Must not be empty, and must outlive the selector.
    /// @param witnesses Selects the witnesses that a stable bucket would get. Must outlive the selector.
    move_selector(bucket_table const& table, std::vector<server_id> const& owners,
        std::map<server_id, uint32_t> const& quotas, witness_selector const& witnesses);

    /// @return Moves of the buckets whose server does not accept new flows.
    std::vector<bucket_move> forcedMoves();

    /// Must be called after forcedMoves().
    /// @return Moves from servers above their quota to servers below it.
    std::vector<bucket_move> balancingMoves(uint32_t maximumMoves);

private:
    uint32_t deficitOf(server_id server) const;
    void addMove(uint32_t index, server_id server, std::vector<bucket_move>& moves);
    uint64_t witnessKey(uint32_t index, server_id receiver) const;
    std::vector<uint32_t> preferredBuckets(std::vector<uint32_t> buckets, server_id receiver, uint32_t count) const;

    bucket_table const& m_table;
    std::vector<server_id> m_owners;
    std::map<server_id, uint32_t> const& m_quotas;
    witness_selector const& m_witnesses;
    std::map<server_id, uint32_t> m_counts;
};

} // namespace bilberryyard
