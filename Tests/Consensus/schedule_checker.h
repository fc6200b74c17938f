#pragma once

#include <Base/hashing.h>
#include <Consensus/byte_codec.h>
#include <Consensus/consensus_action.h>
#include <map>
#include <optional>
#include <string>

/// The replicated state machine of the schedules: a hash chain over the applied entries, and the index at which each
/// request was first applied.
struct applied_state {
    bilberryyard::log_index index = 0;
    uint64_t chain = 0;
    std::map<uint64_t, bilberryyard::log_index> requests;

    void apply(bilberryyard::log_entry const& entry)
    {
        index = entry.index;
        auto const hash = bilberryyard::hashBytes(
            { reinterpret_cast<uint8_t const*>(entry.payload.data()), entry.payload.size() }, entry.term);
        chain = bilberryyard::hashPair(bilberryyard::hashPair(chain, hash), entry.index);
        if (entry.kind == bilberryyard::entry_kind::Application)
            requests.emplace(bilberryyard::byte_reader(entry.payload).u64(), entry.index);
    }

    std::string encode() const
    {
        bilberryyard::byte_writer writer;
        writer.u64(index).u64(chain).u32(static_cast<uint32_t>(requests.size()));
        for (auto const& [request, first] : requests)
            writer.u64(request).u64(first);
        return writer.release();
    }

    static applied_state decode(std::string const& bytes)
    {
        bilberryyard::byte_reader reader(bytes);
        applied_state state { reader.u64(), reader.u64(), {} };
        for (auto left = reader.u32(); left > 0; --left) {
            auto const request = reader.u64();
            state.requests.emplace(request, reader.u64());
        }
        return state;
    }
};

/// Checks the guarantees of the replicated log during a schedule, and stores the first violation.
class schedule_checker {
public:
    void recordLeader(bilberryyard::term_number term, bilberryyard::member_id leader)
    {
        auto const [known, isNew] = m_leaders.emplace(term, leader);
        if (!isNew && known->second != leader)
            recordViolation("term " + std::to_string(term) + " has leaders " + std::to_string(known->second.value)
                + " and " + std::to_string(leader.value));
    }

    /// @param entry An entry that a member has applied.
    /// @param before Index of the last entry that the member had applied before.
    /// @param after The member's state after the entry.
    void recordApplied(bilberryyard::log_entry const& entry, bilberryyard::log_index before, applied_state const& after)
    {
        if (entry.index != before + 1)
            recordViolation("entry " + std::to_string(entry.index) + " was applied after " + std::to_string(before));
        auto const [known, isNew] = m_committedEntries.emplace(entry.index, entry);
        if (!isNew && known->second != entry)
            recordViolation("committed entry " + std::to_string(entry.index) + " of term "
                + std::to_string(known->second.term) + " changed to one of term " + std::to_string(entry.term));
        checkChain(after);
        if (isNew && entry.kind == bilberryyard::entry_kind::Application) {
            bilberryyard::byte_reader reader(entry.payload);
            reader.u64();
            auto const token = reader.u64();
            if (!m_appliedIndices.emplace(token, entry.index).second)
                recordViolation("proposal " + std::to_string(token) + " was applied twice");
        }
    }

    void recordInstalled(applied_state const& state) { checkChain(state); }

    void recordResult(bilberryyard::proposal_result const& proposalResult)
    {
        if (!m_results.emplace(proposalResult.token, proposalResult).second)
            recordViolation("proposal " + std::to_string(proposalResult.token) + " has two results");
    }

    /// @return Index of the last committed entry; reads that start now must include it.
    bilberryyard::log_index committedIndex() const
    {
        return m_committedEntries.empty() ? 0 : m_committedEntries.rbegin()->first;
    }

    void recordRead(bilberryyard::log_index index, bilberryyard::log_index required)
    {
        if (index < required)
            recordViolation("stale read: served up to entry " + std::to_string(index) + " when "
                + std::to_string(required) + " was applied by another member");
    }

    /// Compares the results of all proposals with the applied entries, at the end of a schedule.
    void finish()
    {
        for (auto const& [token, proposalResult] : m_results) {
            auto const position = m_appliedIndices.find(token);
            auto const name = "proposal " + std::to_string(token);
            if (proposalResult.outcome == bilberryyard::proposal_outcome::Rejected
                && position != m_appliedIndices.end())
                recordViolation(name + " was rejected but applied at entry " + std::to_string(position->second));
            if (proposalResult.outcome != bilberryyard::proposal_outcome::Accepted
                || m_membershipTokens.contains(token))
                continue;
            if (position == m_appliedIndices.end())
                recordViolation(name + " was accepted but never applied");
            else if (position->second != proposalResult.index)
                recordViolation(name + " was accepted at entry " + std::to_string(proposalResult.index)
                    + " but applied at " + std::to_string(position->second));
        }
    }

    void recordMembershipProposal(uint64_t token) { m_membershipTokens.emplace(token, true); }

    void recordViolation(std::string const& what)
    {
        if (!m_violation)
            m_violation = what;
    }

    std::optional<std::string> const& violation() const { return m_violation; }
    std::map<uint64_t, bilberryyard::proposal_result> const& results() const { return m_results; }

private:
    void checkChain(applied_state const& state)
    {
        auto const [known, isNew] = m_chains.emplace(state.index, state.chain);
        if (!isNew && known->second != state.chain)
            recordViolation("members have applied different entries up to entry " + std::to_string(state.index));
    }

    std::map<bilberryyard::term_number, bilberryyard::member_id> m_leaders;
    std::map<bilberryyard::log_index, bilberryyard::log_entry> m_committedEntries;
    std::map<bilberryyard::log_index, uint64_t> m_chains;
    std::map<uint64_t, bilberryyard::log_index> m_appliedIndices;
    std::map<uint64_t, bilberryyard::proposal_result> m_results;
    std::map<uint64_t, bool> m_membershipTokens;
    std::optional<std::string> m_violation;
};
