#pragma once

#include <Base/hashing.h>
#include <Consensus/byte_codec.h>
#include <Consensus/consensus_action.h>
#include <map>
#include <optional>
#include <string>

/// State machine of the schedules: a hash chain over the applied entries and the first index of each request.
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
        return writer.take();
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

/// The checks of a schedule. The first violation is kept.
class schedule_checker {
public:
    void leaderSeen(bilberryyard::term_number term, bilberryyard::member_id leader)
    {
        auto const [known, isNew] = m_leaders.emplace(term, leader);
        if (!isNew && known->second != leader)
            violate("term " + std::to_string(term) + " has leaders " + std::to_string(known->second.value) + " and "
                + std::to_string(leader.value));
    }

    /// @param entry An entry that a member applies.
    /// @param before The last index the member had applied.
    /// @param after The member's state after it.
    void applied(bilberryyard::log_entry const& entry, bilberryyard::log_index before, applied_state const& after)
    {
        if (entry.index != before + 1)
            violate("entry " + std::to_string(entry.index) + " was applied after " + std::to_string(before));
        auto const [known, isNew] = m_committed.emplace(entry.index, entry);
        if (!isNew && known->second != entry)
            violate("committed entry " + std::to_string(entry.index) + " of term " + std::to_string(known->second.term)
                + " changed to one of term " + std::to_string(entry.term));
        checkChain(after);
        if (isNew && entry.kind == bilberryyard::entry_kind::Application) {
            bilberryyard::byte_reader reader(entry.payload);
            reader.u64();
            auto const token = reader.u64();
            if (!m_positions.emplace(token, entry.index).second)
                violate("proposal " + std::to_string(token) + " was applied twice");
        }
    }

    void installed(applied_state const& state) { checkChain(state); }

    void answered(bilberryyard::proposal_result const& answer)
    {
        if (!m_answers.emplace(answer.token, answer).second)
            violate("proposal " + std::to_string(answer.token) + " was answered twice");
    }

    /// @return Reads that begin now must include entries up to here.
    bilberryyard::log_index committedIndex() const { return m_committed.empty() ? 0 : m_committed.rbegin()->first; }

    void readServed(bilberryyard::log_index index, bilberryyard::log_index required)
    {
        if (index < required)
            violate("stale read: served up to entry " + std::to_string(index) + " when " + std::to_string(required)
                + " was applied elsewhere");
    }

    /// Compares the answers with the log, at the end of a schedule.
    void finish()
    {
        for (auto const& [token, answer] : m_answers) {
            auto const position = m_positions.find(token);
            auto const name = "proposal " + std::to_string(token);
            if (answer.outcome == bilberryyard::proposal_outcome::Rejected && position != m_positions.end())
                violate(name + " was rejected but applied at entry " + std::to_string(position->second));
            if (answer.outcome != bilberryyard::proposal_outcome::Accepted || m_membershipTokens.contains(token))
                continue;
            if (position == m_positions.end())
                violate(name + " was accepted but never applied");
            else if (position->second != answer.index)
                violate(name + " was accepted at entry " + std::to_string(answer.index) + " but applied at "
                    + std::to_string(position->second));
        }
    }

    void membershipProposed(uint64_t token) { m_membershipTokens.emplace(token, true); }

    void violate(std::string const& what)
    {
        if (!m_violation)
            m_violation = what;
    }

    std::optional<std::string> const& violation() const { return m_violation; }
    std::map<uint64_t, bilberryyard::proposal_result> const& answers() const { return m_answers; }

private:
    void checkChain(applied_state const& state)
    {
        auto const [known, isNew] = m_chains.emplace(state.index, state.chain);
        if (!isNew && known->second != state.chain)
            violate("members differ in what they applied up to entry " + std::to_string(state.index));
    }

    std::map<bilberryyard::term_number, bilberryyard::member_id> m_leaders;
    std::map<bilberryyard::log_index, bilberryyard::log_entry> m_committed;
    std::map<bilberryyard::log_index, uint64_t> m_chains;
    std::map<uint64_t, bilberryyard::log_index> m_positions;
    std::map<uint64_t, bilberryyard::proposal_result> m_answers;
    std::map<uint64_t, bool> m_membershipTokens;
    std::optional<std::string> m_violation;
};
