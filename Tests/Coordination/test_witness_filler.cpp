#include <Coordination/settle_scanner.h>
#include <Coordination/witness_filler.h>
#include <boost/test/unit_test.hpp>

using namespace bilberryyard;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr service_id service { 1 };
constexpr routed_peer self { host_id { 2 }, 5 };
constexpr host_id source { 1 };
monotonic_time const start { std::chrono::hours { 1 } };

coordinator_settings settings()
{
    coordinator_settings value;
    value.self = self;
    return value;
}

witness_set witnesses(witness_state state, uint32_t incarnation = self.incarnation)
{
    witness_set set;
    set.count = 1;
    set.groups[0].count = 2;
    set.groups[0].witnesses[0] = { source, 1, witness_state::Complete };
    set.groups[0].witnesses[1] = { self.host, incarnation, state };
    return set;
}

bucket_table table(witness_set const& set, std::vector<uint32_t> const& buckets, uint64_t counter = 1)
{
    return bucket_table(service, 16)
        .withDelta({ service, counter,
            { { server_id { 7 }, server_id { 8 }, bucket_phase::Tracked, set, { counter, source }, buckets } } });
}

fill_request onlyRequest(std::vector<outgoing_message> const& messages)
{
    BOOST_TEST_REQUIRE(messages.size() == 1U);
    BOOST_CHECK(messages[0].receiver == source);
    BOOST_CHECK(messages[0].message.sender == self);
    return std::get<fill_request>(messages[0].message.body);
}

// Guards against a fill that never continues after a lost response, and against entries that are imported twice.
BOOST_AUTO_TEST_CASE(request_is_repeated_after_a_lost_response)
{
    witness_filler filler(settings());
    filler.update(table(witnesses(witness_state::Filling), { 1, 3 }));
    auto const first = onlyRequest(filler.step(start));
    BOOST_CHECK((first == fill_request { service, { 1, 3 }, {} }));
    BOOST_TEST(filler.step(start + settings().fillInterval - milliseconds { 1 }).empty());
    BOOST_CHECK(onlyRequest(filler.step(start + settings().fillInterval)) == first);

    transfer_cursor const next { 1, 99 };
    fill_response const batch { service, {}, { { { 99, server_id { 7 } } }, next, false } };
    auto const import = filler.receive(source, batch);
    BOOST_REQUIRE(import);
    BOOST_CHECK((*import == import_command { service, { { 99, server_id { 7 } } } }));
    BOOST_CHECK(!filler.receive(source, batch));
    BOOST_CHECK(onlyRequest(filler.step(start + seconds { 2 })).cursor == next);
    BOOST_CHECK(onlyRequest(filler.step(start + seconds { 3 })).cursor == next);
    BOOST_TEST(filler.drainFilledReports(start + seconds { 3 }).empty());

    fill_response const last { service, next, { {}, { 2, std::nullopt }, true } };
    BOOST_CHECK(!filler.receive(host_id { 3 }, last));
    BOOST_CHECK(filler.receive(source, last));
    auto const filled = filler.drainFilledReports(start + seconds { 3 });
    BOOST_TEST_REQUIRE(filled.size() == 1U);
    BOOST_CHECK((filled[0] == filled_report { service, self, { 1, 3 } }));
    BOOST_TEST(filler.step(start + seconds { 9 }).empty());
}

// Guards against a witness that never becomes complete because its report was lost.
BOOST_AUTO_TEST_CASE(report_is_repeated_until_the_planner_acts)
{
    witness_filler filler(settings());
    auto const filling = table(witnesses(witness_state::Filling), { 1, 3 });
    filler.update(filling);
    onlyRequest(filler.step(start));
    filler.receive(source, { service, {}, { {}, { 2, std::nullopt }, true } });
    BOOST_TEST(filler.drainFilledReports(start).size() == 1U);
    BOOST_TEST(filler.drainFilledReports(start + seconds { 1 }).empty());
    filler.update(filling);
    BOOST_TEST(filler.drainFilledReports(start + seconds { 10 }).size() == 1U);
    filler.update(table(witnesses(witness_state::Complete), { 1, 3 }));
    BOOST_TEST(filler.drainFilledReports(start + seconds { 20 }).empty());
}

// Guards against a restarted host that fills a witness role of its previous incarnation.
BOOST_AUTO_TEST_CASE(roles_of_an_earlier_incarnation_are_not_filled)
{
    witness_filler filler(settings());
    filler.update(table(witnesses(witness_state::Filling, self.incarnation - 1), { 1 }));
    BOOST_TEST(filler.step(start).empty());
}

// Guards against settling a bucket that changed within the idle timeout, or at a witness that lacks entries.
BOOST_AUTO_TEST_CASE(only_unchanged_buckets_of_complete_witnesses_settle)
{
    settle_scanner scanner(self, 16);
    auto const idle = milliseconds { 1000 };
    auto const complete = table(witnesses(witness_state::Complete), { 1, 3 });
    BOOST_TEST(scanner.step(complete, idle, start).empty());
    BOOST_TEST(scanner.step(complete, idle, start + milliseconds { 999 }).empty());
    auto const commands = scanner.step(complete, idle, start + idle);
    BOOST_TEST_REQUIRE(commands.size() == 1U);
    BOOST_CHECK((commands[0] == settle_command { service, { 1, source }, { 1, 3 } }));
    auto const changed = table(witnesses(witness_state::Complete), { 1, 3 }, 2);
    BOOST_TEST(scanner.step(changed, idle, start + seconds { 5 }).empty());
    auto const filling = table(witnesses(witness_state::Filling), { 1, 3 }, 2);
    BOOST_TEST(scanner.step(filling, idle, start + seconds { 50 }).empty());
}

} // namespace
