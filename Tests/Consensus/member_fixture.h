#pragma once

#include <Base/error_kind.h>
#include <Consensus/consensus_member.h>

/// Drives a single consensus_member step by step. Members 1 to 3 are voters unless stated otherwise; member 1 is under
/// test.
class member_fixture {
public:
    /// @param terms Terms of the restored log entries, from index 1 on.
    /// @param vote The restored term and vote; the term is raised to that of the last entry.
    /// @param role Role of member 1 in the restored configuration.
    explicit member_fixture(std::vector<bilberryyard::term_number> const& terms, bilberryyard::vote_record vote = {},
        bilberryyard::consensus_settings settings = {},
        bilberryyard::member_role role = bilberryyard::member_role::Voter)
    {
        using namespace bilberryyard;
        std::vector<member_description> members;
        for (uint32_t id = 1; id <= 3; ++id)
            members.push_back({ member_id { id }, id == 1 ? role : member_role::Voter, "host" + std::to_string(id) });
        restored_state restored;
        restored.vote = vote;
        if (!terms.empty())
            restored.vote.term = std::max(vote.term, terms.back());
        restored.snapshot = std::make_shared<log_snapshot const>(
            log_snapshot { 0, 0, cluster_configuration::create(members).value(), {} });
        for (auto const term : terms)
            restored.entries.push_back({ term, restored.entries.size() + 1, entry_kind::Application, "old" });
        member.emplace(consensus_member<>::create({ 1, member_id { 1 } }, settings, restored, 1, now).value());
    }

    void advanceTime(std::chrono::milliseconds time) { now += time; }

    void receive(uint32_t sender, bilberryyard::term_number term, decltype(bilberryyard::consensus_message::body) body)
    {
        member->receive(
            { 1, bilberryyard::member_id { sender }, bilberryyard::member_id { 1 }, term, std::move(body) }, now);
    }

    /// Drains the actions.
    /// @param syncs Whether every persist_request completes at once.
    std::vector<bilberryyard::consensus_action> actions(bool syncs = true)
    {
        std::vector<bilberryyard::consensus_action> result;
        for (;;) {
            auto next = member->drainActions(now);
            if (next.empty())
                return result;
            for (auto& action : next) {
                if (auto const* request = std::get_if<bilberryyard::persist_request>(&action); request && syncs)
                    member->persistCompleted(request->sequence, now);
                result.push_back(std::move(action));
            }
        }
    }

    /// @return The body of the last message with body type `Body` among the actions.
    template <typename Body>
    static std::optional<Body> lastMessage(std::vector<bilberryyard::consensus_action> const& actions)
    {
        std::optional<Body> result;
        for (auto const& action : actions) {
            auto const* message = std::get_if<bilberryyard::send_message>(&action);
            if (message && std::holds_alternative<Body>(message->message.body))
                result = std::get<Body>(message->message.body);
        }
        return result;
    }

    template <typename Action>
    static std::optional<Action> lastAction(std::vector<bilberryyard::consensus_action> const& actions)
    {
        std::optional<Action> result;
        for (auto const& action : actions) {
            if (auto const* found = std::get_if<Action>(&action))
                result = *found;
        }
        return result;
    }

    /// Makes the member win an election with the vote of member 2.
    void elect()
    {
        using namespace bilberryyard;
        advanceTime(std::chrono::milliseconds(1500));
        auto const term = member->term() + 1;
        member->tick(now);
        actions();
        receive(2, term - 1, vote_response { vote_phase::PreVote, term, vote_decision::Granted });
        actions();
        receive(2, term, vote_response { vote_phase::Vote, term, vote_decision::Granted });
    }

    /// Makes member 2 acknowledge the whole log.
    void acknowledge()
    {
        receive(2, member->term(),
            bilberryyard::append_response {
                bilberryyard::append_outcome::Accepted, now.time_since_epoch().count(), member->lastIndex(), 0, 0, 0 });
    }

    bilberryyard::monotonic_time now { std::chrono::hours(1) };
    std::optional<bilberryyard::consensus_member<>> member;
};
