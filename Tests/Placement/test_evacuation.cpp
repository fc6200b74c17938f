// Placement of new flows while availability zones are evacuated.
#include "placement_fixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

using namespace bilberryyard;

namespace {

struct evacuation_row {
    char const* name;
    std::set<std::string> evacuated;
    /// Zone that new flows go to; nullopt if they are rejected.
    std::optional<std::string> target;
};
std::ostream& operator<<(std::ostream& stream, evacuation_row const& row) { return stream << row.name; }

evacuation_row const evacuationRows[] = {
    { "none", {}, "a" },
    { "the own zone", { "a" }, "b" },
    { "another zone", { "b" }, "a" },
    { "a zone without servers", { "c" }, "a" },
    { "all zones", { "a", "b" }, std::nullopt },
};

// Evacuation of zones: new flows avoid their servers, and are rejected at once when no other server is left.
BOOST_DATA_TEST_CASE(new_flows_avoid_evacuated_zones, evacuationRows, row)
{
    placement_fixture fixture;
    for (int number = 1; number <= 3; ++number)
        fixture.announce(number, "a");
    for (int number = 4; number <= 6; ++number)
        fixture.announce(number, "b");
    fixture.router.pool().setEvacuatedZones({ 1, row.evacuated }, fixture.now);
    for (uint16_t caller = 20'000; caller < 20'004; ++caller) {
        auto const decision = fixture.open(caller);
        auto const token = placement_fixture::targetOf(decision);
        BOOST_REQUIRE(token.has_value() == row.target.has_value());
        if (row.target)
            BOOST_TEST(fixture.router.pool().find(*token)->entry.announcement.zone == *row.target);
        else
            BOOST_CHECK(placement_fixture::resetOf(decision) == reset_reason::NoServer);
    }
}

// Evacuation with failures elsewhere: an ejected or unannounced server is used before one of an evacuated zone.
BOOST_AUTO_TEST_CASE(no_failure_makes_up_for_an_evacuation)
{
    placement_fixture fixture;
    fixture.announce(1, "a");
    fixture.announce(2, "b", backend_state::Ready, "orders", 10'000);
    fixture.router.pool().setEvacuatedZones({ 1, { "a" } }, fixture.now);
    fixture.router.pool().find(placement_fixture::tokenOf(2))->load.ejectedUntil
        = fixture.now + std::chrono::seconds(1);
    BOOST_TEST(placement_fixture::targetOf(fixture.open(20'000)).value() == placement_fixture::tokenOf(2));
}

// Open flows stay where they are while their zone is evacuated.
BOOST_AUTO_TEST_CASE(open_flows_stay_in_an_evacuated_zone)
{
    placement_fixture fixture;
    fixture.announce(1, "a");
    fixture.announce(2, "b");
    auto const token = fixture.openEstablished(20'000);
    BOOST_REQUIRE(token == placement_fixture::tokenOf(1));
    fixture.router.pool().setEvacuatedZones({ 1, { "a" } }, fixture.now);
    BOOST_TEST(placement_fixture::targetOf(fixture.request(20'000, token)).value() == token);
}

struct repetition_row {
    char const* name;
    int elapsedMs;
    int server;
};
std::ostream& operator<<(std::ostream& stream, repetition_row const& row) { return stream << row.name; }

repetition_row const repetitionRows[] = {
    { "the server may still respond to the first handshake packet", 200, 1 },
    { "the server would have responded", 1'600, 2 },
};

// A caller that repeats a handshake for seconds: its repetitions count as new flows of the evacuated zone.
BOOST_DATA_TEST_CASE(repeated_handshake_leaves_an_evacuated_zone_after_the_timeout, repetitionRows, row)
{
    placement_fixture fixture;
    fixture.announce(1, "a");
    fixture.announce(2, "b");
    BOOST_REQUIRE(placement_fixture::targetOf(fixture.open(20'000)).value() == placement_fixture::tokenOf(1));
    fixture.router.pool().setEvacuatedZones({ 1, { "a" } }, fixture.now);
    // A later order does not extend the time.
    fixture.advance(row.elapsedMs / 2);
    fixture.router.pool().setEvacuatedZones({ 2, { "a", "c" } }, fixture.now);
    fixture.advance(row.elapsedMs / 2);
    // A server that responds to other callers is not silent.
    fixture.router.pool().recordAcknowledgement(
        *fixture.router.pool().find(placement_fixture::tokenOf(1)), fixture.now);
    BOOST_TEST(placement_fixture::targetOf(fixture.open(20'000, 1)).value() == placement_fixture::tokenOf(row.server));
}

// The operator sees when a zone is empty.
BOOST_AUTO_TEST_CASE(flows_in_evacuated_zones_are_counted)
{
    placement_fixture fixture;
    fixture.announce(1, "a");
    fixture.openEstablished(20'000);
    fixture.open(20'001);
    fixture.announce(2, "b");
    BOOST_TEST(fixture.router.pool().evacuatedZoneFlows() == 0u);
    fixture.router.pool().setEvacuatedZones({ 1, { "a" } }, fixture.now);
    fixture.openEstablished(20'002);
    BOOST_TEST(fixture.router.pool().evacuatedZoneFlows() == 2u);
}

struct revision_row {
    char const* name;
    uint64_t revision;
    bool isApplied;
};
std::ostream& operator<<(std::ostream& stream, revision_row const& row) { return stream << row.name; }

revision_row const revisionRows[] = {
    { "older", 1, false },
    { "the same", 2, false },
    { "newer", 3, true },
};

// Guards against a delayed message that ends or repeats an evacuation.
BOOST_DATA_TEST_CASE(only_a_higher_revision_takes_effect, revisionRows, row)
{
    placement_fixture fixture;
    fixture.announce(1, "a");
    fixture.announce(2, "b");
    BOOST_REQUIRE(fixture.router.pool().setEvacuatedZones({ 2, { "a" } }, fixture.now));
    BOOST_TEST(fixture.router.pool().setEvacuatedZones({ row.revision, {} }, fixture.now) == row.isApplied);
    auto const expected = placement_fixture::tokenOf(row.isApplied ? 1 : 2);
    BOOST_TEST(placement_fixture::targetOf(fixture.open(20'000)).value() == expected);
}

} // namespace
