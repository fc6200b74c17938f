#include "member_fixture.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace bilberryyard;
using std::chrono::milliseconds;

namespace {

enum class contact : uint8_t {
    None,
    JustNow,
};

struct vote_row {
    char const* name;
    vote_record own;
    contact leader;
    vote_request request;
    /// nullopt if the request must be ignored.
    std::optional<vote_decision> expected;
    term_number termAfter;
};
std::ostream& operator<<(std::ostream& stream, vote_row const& row) { return stream << row.name; }

constexpr auto preVote = vote_phase::PreVote;
constexpr auto vote = vote_phase::Vote;
constexpr auto timeout = election_cause::Timeout;
constexpr auto transfer = election_cause::Transfer;
constexpr auto granted = vote_decision::Granted;
constexpr auto refused = vote_decision::Refused;

// The member's log has terms 1, 2, 2.
vote_row const voteRows[] = {
    { "same log", { 2, {} }, contact::None, { vote, timeout, 3, 3, 2 }, granted, 3 },
    { "longer log", { 2, {} }, contact::None, { vote, timeout, 3, 9, 2 }, granted, 3 },
    { "shorter log of a later term", { 2, {} }, contact::None, { vote, timeout, 4, 1, 3 }, granted, 4 },
    { "shorter log", { 2, {} }, contact::None, { vote, timeout, 3, 2, 2 }, refused, 3 },
    { "longer log of an earlier term", { 2, {} }, contact::None, { vote, timeout, 3, 9, 1 }, refused, 3 },
    { "earlier term", { 5, {} }, contact::None, { vote, timeout, 4, 3, 2 }, refused, 5 },
    { "voted for another", { 3, member_id { 3 } }, contact::None, { vote, timeout, 3, 3, 2 }, refused, 3 },
    { "voted for the same", { 3, member_id { 2 } }, contact::None, { vote, timeout, 3, 3, 2 }, granted, 3 },
    { "recent message from the leader", { 2, {} }, contact::JustNow, { vote, timeout, 3, 3, 2 }, std::nullopt, 2 },
    { "leader transferred leadership", { 2, {} }, contact::JustNow, { vote, transfer, 3, 3, 2 }, granted, 3 },
    { "pre-vote", { 2, {} }, contact::None, { preVote, timeout, 3, 3, 2 }, granted, 2 },
    { "pre-vote with a short log", { 2, {} }, contact::None, { preVote, timeout, 3, 2, 2 }, refused, 2 },
    { "pre-vote for the current term", { 3, {} }, contact::None, { preVote, timeout, 3, 3, 2 }, refused, 3 },
    { "pre-vote after a recent message from the leader", { 2, {} }, contact::JustNow, { preVote, timeout, 3, 3, 2 },
        refused, 2 },
};

BOOST_AUTO_TEST_SUITE(member_rules)

// Guards against votes that elect a leader that lacks committed entries, or two leaders in one term.
BOOST_DATA_TEST_CASE(vote_rule, voteRows, row)
{
    member_fixture fixture({ 1, 2, 2 }, row.own);
    fixture.advanceTime(milliseconds(799));
    if (row.leader == contact::None)
        fixture.advanceTime(milliseconds(1));
    else
        fixture.receive(3, 2, append_request { 3, 2, 0, 0, {} });
    fixture.actions();
    fixture.receive(2, 2, row.request);
    auto const response = member_fixture::lastMessage<vote_response>(fixture.actions());
    BOOST_TEST(response.has_value() == row.expected.has_value());
    if (response && row.expected)
        BOOST_CHECK(response->decision == *row.expected);
    BOOST_TEST(fixture.member->term() == row.termAfter);
}

// Guards against a member that grants a vote right after a restart, although the lease of a leader that it responded
// to before the restart may still be valid.
BOOST_AUTO_TEST_CASE(no_vote_right_after_the_start)
{
    member_fixture fixture({ 1 });
    fixture.receive(2, 1, vote_request { vote, timeout, 2, 1, 1 });
    BOOST_TEST(!member_fixture::lastMessage<vote_response>(fixture.actions()).has_value());
}

struct append_row {
    char const* name;
    log_index previousIndex;
    term_number previousTerm;
    std::vector<term_number> entries;
    append_outcome outcome;
    log_index matchIndex;
    term_number conflictTerm;
    log_index conflictIndex;
    log_index lastIndex;
};
std::ostream& operator<<(std::ostream& stream, append_row const& row) { return stream << row.name; }

constexpr auto accepted = append_outcome::Accepted;
constexpr auto mismatch = append_outcome::Mismatch;

// The member's log has terms 1, 1, 2, 2, 2; the leader's term is 6.
append_row const appendRows[] = {
    { "heartbeat", 5, 2, {}, accepted, 5, 0, 0, 5 },
    { "heartbeat before the end", 3, 2, {}, accepted, 3, 0, 0, 5 },
    { "next entry", 5, 2, { 6 }, accepted, 6, 0, 0, 6 },
    { "known entries", 2, 1, { 2, 2 }, accepted, 4, 0, 0, 5 },
    { "conflicting tail", 3, 2, { 6 }, accepted, 4, 0, 0, 4 },
    { "from the beginning", 0, 0, { 1, 1, 6 }, accepted, 3, 0, 0, 3 },
    { "gap", 9, 2, { 6 }, mismatch, 0, 0, 6, 5 },
    { "other term", 5, 4, { 6 }, mismatch, 0, 2, 3, 5 },
    { "other term at the first run", 2, 2, { 6 }, mismatch, 0, 1, 1, 5 },
};

// Guards against logs that differ before a matching entry, and against conflict hints that make the leader search for
// the matching entry one index at a time.
BOOST_DATA_TEST_CASE(append_rule, appendRows, row)
{
    member_fixture fixture({ 1, 1, 2, 2, 2 });
    append_request request { row.previousIndex, row.previousTerm, 0, 42, {} };
    for (auto const term : row.entries)
        request.entries.push_back(
            { term, row.previousIndex + request.entries.size() + 1, entry_kind::Application, "new" });
    fixture.receive(2, 6, request);
    auto const response = member_fixture::lastMessage<append_response>(fixture.actions());
    BOOST_REQUIRE(response.has_value());
    BOOST_CHECK(response->outcome == row.outcome);
    BOOST_TEST(response->matchIndex == row.matchIndex);
    BOOST_TEST(response->conflictTerm == row.conflictTerm);
    BOOST_TEST(response->conflictIndex == row.conflictIndex);
    BOOST_TEST(response->sentAt == 42);
    BOOST_TEST(fixture.member->lastIndex() == row.lastIndex);
}

// Guards against votes and acknowledgements that are sent before their state is durable.
BOOST_AUTO_TEST_CASE(responses_wait_for_the_sync)
{
    member_fixture fixture({ 1 });
    fixture.receive(2, 1, append_request { 1, 1, 0, 0, { { 1, 2, entry_kind::Application, "a" } } });
    auto const first = fixture.actions(false);
    BOOST_TEST(!member_fixture::lastMessage<append_response>(first).has_value());
    auto const request = member_fixture::lastAction<persist_request>(first);
    BOOST_REQUIRE(request.has_value());
    // A second entry waits for its own sync.
    fixture.receive(2, 1, append_request { 2, 1, 0, 0, { { 1, 3, entry_kind::Application, "b" } } });
    BOOST_TEST(!member_fixture::lastMessage<append_response>(fixture.actions(false)).has_value());
    fixture.member->persistCompleted(request->sequence, fixture.now);
    auto const second = fixture.actions(false);
    BOOST_REQUIRE(member_fixture::lastMessage<append_response>(second).has_value());
    BOOST_TEST(member_fixture::lastMessage<append_response>(second)->matchIndex == 2u);
    BOOST_TEST(member_fixture::lastAction<persist_request>(second)->entries.size() == 1u);
}

// Guards against an acknowledgement after a write error.
BOOST_AUTO_TEST_CASE(write_error_stops_the_member)
{
    member_fixture fixture({ 1 });
    fixture.elect();
    fixture.actions();
    fixture.acknowledge();
    fixture.actions();
    fixture.member->propose(7, "x", fixture.now);
    fixture.actions(false);
    fixture.member->persistFailed(makeError(error_kind::ResourceExhausted, "no space"), fixture.now);
    fixture.acknowledge();
    auto const actions = fixture.actions();
    BOOST_CHECK(member_fixture::lastAction<proposal_result>(actions)->outcome == proposal_outcome::Unknown);
    BOOST_TEST(!member_fixture::lastMessage<append_request>(actions).has_value());
    BOOST_CHECK(fixture.member->role() == consensus_role::Stopped);
    fixture.member->propose(8, "y", fixture.now);
    auto const result = member_fixture::lastAction<proposal_result>(fixture.actions());
    BOOST_CHECK(result->outcome == proposal_outcome::Rejected);
    BOOST_TEST(messageOf(result->status).find("no space") != std::string::npos);
}

// Guards against a leader without contact to a majority that accepts proposals or serves reads as current (fault F4).
BOOST_AUTO_TEST_CASE(leader_without_majority_steps_down)
{
    member_fixture fixture({ 1 });
    fixture.elect();
    fixture.actions();
    fixture.acknowledge();
    fixture.actions();
    fixture.member->read(1, fixture.now);
    BOOST_TEST(member_fixture::lastAction<read_result>(fixture.actions())->status.ok());
    fixture.advanceTime(milliseconds(600));
    fixture.member->read(2, fixture.now);
    BOOST_TEST(member_fixture::lastAction<read_result>(fixture.actions())->status.ok());
    fixture.advanceTime(milliseconds(1));
    fixture.member->read(3, fixture.now);
    auto const read = member_fixture::lastAction<read_result>(fixture.actions());
    BOOST_CHECK(errorKindOf(read->status) == error_kind::Unavailable);
    BOOST_CHECK(read->age == std::optional<duration>(milliseconds(601)));
    fixture.member->propose(4, "x", fixture.now);
    auto const result = member_fixture::lastAction<proposal_result>(fixture.actions());
    BOOST_CHECK(result->outcome == proposal_outcome::Rejected);
    BOOST_CHECK(errorKindOf(result->status) == error_kind::Unavailable);
}

// Guards against committing an entry of an earlier term by counting its copies (Ongaro 2014, figure 3.7).
BOOST_AUTO_TEST_CASE(earlier_terms_commit_with_the_own_term_only)
{
    member_fixture fixture({ 1, 1 });
    fixture.elect();
    fixture.actions();
    auto const sentAt = fixture.now.time_since_epoch().count();
    fixture.receive(2, fixture.member->term(), append_response { accepted, sentAt, 2, 0, 0, 0 });
    fixture.actions();
    BOOST_TEST(fixture.member->commitIndex() == 0u);
    fixture.acknowledge();
    fixture.actions();
    BOOST_TEST(fixture.member->commitIndex() == 3u);
}

// Guards against a graceful stop that loses proposals or waits for an election timeout.
BOOST_AUTO_TEST_CASE(transfer_waits_for_the_successor)
{
    member_fixture fixture({ 1 });
    fixture.elect();
    fixture.actions();
    fixture.member->propose(1, "x", fixture.now);
    BOOST_TEST(fixture.member->transferLeadership(fixture.now).ok());
    fixture.member->propose(2, "y", fixture.now);
    auto const before = fixture.actions();
    BOOST_CHECK(member_fixture::lastAction<proposal_result>(before)->outcome == proposal_outcome::Rejected);
    BOOST_TEST(!member_fixture::lastMessage<timeout_now>(before).has_value());
    fixture.acknowledge();
    auto const after = fixture.actions();
    BOOST_CHECK(member_fixture::lastAction<proposal_result>(after)->outcome == proposal_outcome::Accepted);
    BOOST_TEST(member_fixture::lastMessage<timeout_now>(after).has_value());
    BOOST_CHECK(fixture.member->role() == consensus_role::Follower);
}

struct refused_row {
    char const* name;
    uint64_t cluster;
    uint32_t sender;
    uint32_t receiver;
};
std::ostream& operator<<(std::ostream& stream, refused_row const& row) { return stream << row.name; }
refused_row const refusedRows[] = {
    { "other cluster", 2, 2, 1 },
    { "other receiver", 1, 2, 4 },
    { "no sender", 1, 0, 1 },
    { "own identifier", 1, 1, 1 },
    { "removed sender", 1, 3, 1 },
};

// Guards against accepting messages of other clusters or of a removed member (fault F6).
BOOST_DATA_TEST_CASE(message_of_unknown_peer_is_refused, refusedRows, row)
{
    member_fixture fixture({ 1 });
    fixture.elect();
    fixture.actions();
    fixture.acknowledge();
    fixture.actions();
    fixture.member->changeMembership(1, { membership_change_kind::Remove, member_id { 3 }, {} }, fixture.now);
    fixture.actions();
    fixture.acknowledge();
    BOOST_CHECK(member_fixture::lastAction<proposal_result>(fixture.actions())->outcome == proposal_outcome::Accepted);
    auto const term = fixture.member->term();
    fixture.member->receive({ row.cluster, member_id { row.sender }, member_id { row.receiver }, term + 9,
                                vote_request { vote, transfer, term + 9, 99, term + 8 } },
        fixture.now);
    auto const actions = fixture.actions();
    BOOST_TEST(fixture.member->counters().messagesRefused == 1u);
    BOOST_TEST(fixture.member->term() == term);
    BOOST_TEST(member_fixture::lastMessage<removal_notice>(actions).has_value() == (row.sender == 3));
}

// Guards against a learner that was removed while its disk was full or it was cut off: without a message of its own it
// is never told, does not join again, and cannot replace a lost voter.
BOOST_AUTO_TEST_CASE(learner_without_contact_learns_of_its_removal)
{
    member_fixture fixture({ 1 }, {}, {}, member_role::Learner);
    fixture.advanceTime(milliseconds(1500));
    fixture.member->tick(fixture.now);
    auto const request = member_fixture::lastMessage<vote_request>(fixture.actions());
    BOOST_REQUIRE(request.has_value());
    BOOST_CHECK(request->phase == preVote);
    // It does not take part in elections.
    for (uint32_t const voter : { 2U, 3U })
        fixture.receive(voter, 1, vote_response { preVote, 2, granted });
    BOOST_CHECK(fixture.member->role() == consensus_role::Follower);
    BOOST_TEST(fixture.member->term() == 1u);
    fixture.receive(2, 1, removal_notice {});
    BOOST_TEST(member_fixture::lastAction<member_removed>(fixture.actions()).has_value());
}

struct change_row {
    char const* name;
    membership_change change;
    error_kind expected;
};
std::ostream& operator<<(std::ostream& stream, change_row const& row) { return stream << row.name; }
change_row const changeRows[] = {
    { "used identifier", { membership_change_kind::AddLearner, member_id { 3 }, "x" }, error_kind::FailedPrecondition },
    { "address of a member", { membership_change_kind::AddLearner, member_id { 9 }, "host3" },
        error_kind::FailedPrecondition },
    { "promote a voter", { membership_change_kind::Promote, member_id { 2 }, {} }, error_kind::FailedPrecondition },
    { "promote an unknown member", { membership_change_kind::Promote, member_id { 9 }, {} }, error_kind::NotFound },
    { "promote a learner that lags", { membership_change_kind::Promote, member_id { 4 }, {} },
        error_kind::FailedPrecondition },
    { "remove an unknown member", { membership_change_kind::Remove, member_id { 9 }, {} }, error_kind::NotFound },
};

// Guards against membership changes that reuse an identifier or promote a member that lacks entries.
BOOST_DATA_TEST_CASE(membership_change_is_rejected, changeRows, row)
{
    member_fixture fixture({ 1 });
    fixture.elect();
    fixture.actions();
    fixture.acknowledge();
    fixture.actions();
    fixture.member->changeMembership(1, { membership_change_kind::AddLearner, member_id { 4 }, "new" }, fixture.now);
    fixture.actions();
    // One change at a time: the first is not committed yet.
    fixture.member->changeMembership(2, row.change, fixture.now);
    BOOST_CHECK(errorKindOf(member_fixture::lastAction<proposal_result>(fixture.actions())->status)
        == error_kind::FailedPrecondition);
    fixture.acknowledge();
    fixture.actions();
    fixture.member->changeMembership(3, row.change, fixture.now);
    auto const result = member_fixture::lastAction<proposal_result>(fixture.actions());
    BOOST_CHECK(result->outcome == proposal_outcome::Rejected);
    BOOST_CHECK(errorKindOf(result->status) == row.expected);
}

struct settings_row {
    char const* name;
    void (*invalidate)(consensus_settings&);
};
std::ostream& operator<<(std::ostream& stream, settings_row const& row) { return stream << row.name; }
settings_row const settingsRows[] = {
    { "heartbeat", [](consensus_settings& settings) { settings.heartbeatInterval = {}; } },
    { "short lease", [](consensus_settings& settings) { settings.lease = settings.heartbeatInterval; } },
    { "long lease", [](consensus_settings& settings) { settings.lease = settings.electionTimeoutMinimum; } },
    { "timeouts",
        [](consensus_settings& settings) { settings.electionTimeoutMaximum = settings.electionTimeoutMinimum; } },
    { "inflight", [](consensus_settings& settings) { settings.maximumInflightAppends = 0; } },
    { "chunk", [](consensus_settings& settings) { settings.snapshotChunkBytes = 0; } },
    { "proposals", [](consensus_settings& settings) { settings.maximumPendingProposals = 0; } },
};

// Guards against settings with which a lease outlives the time in which followers grant no votes, or with which no
// messages are sent.
BOOST_DATA_TEST_CASE(settings_out_of_range_are_refused, settingsRows, row)
{
    consensus_settings settings;
    BOOST_TEST(settings.validate().ok());
    row.invalidate(settings);
    BOOST_CHECK(errorKindOf(settings.validate()) == error_kind::InvalidArgument);
}

// Guards against unbounded queues and messages.
BOOST_AUTO_TEST_CASE(proposals_and_messages_are_bounded)
{
    consensus_settings settings;
    settings.maximumPendingProposals = 20;
    settings.maximumAppendBytes = 1000;
    settings.maximumInflightAppends = 2;
    settings.maximumPayloadBytes = 400;
    member_fixture fixture({ 1 }, {}, settings);
    fixture.elect();
    fixture.actions();
    fixture.acknowledge();
    fixture.actions();
    for (uint64_t token = 1; token <= 21; ++token)
        fixture.member->propose(token, std::string(400, 'x'), fixture.now);
    fixture.member->propose(30, std::string(401, 'x'), fixture.now);
    size_t messages = 0;
    std::vector<error_kind> errors;
    for (auto const& action : fixture.actions()) {
        if (auto const* result = std::get_if<proposal_result>(&action))
            errors.push_back(errorKindOf(result->status));
        auto const* message = std::get_if<send_message>(&action);
        if (!message || message->message.receiver != member_id { 2 })
            continue;
        ++messages;
        BOOST_TEST(std::get<append_request>(message->message.body).entries.size() == 2u);
    }
    BOOST_TEST(messages == 2u);
    BOOST_REQUIRE(errors.size() == 2u);
    BOOST_CHECK(errors[0] == error_kind::ResourceExhausted);
    BOOST_CHECK(errors[1] == error_kind::InvalidArgument);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
