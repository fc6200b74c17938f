#include "directory_fixture.h"

#include <Fleet/directory_subscription.h>
#include <Fleet/fleet_codec.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace bilberryyard;

namespace {

/// A control host's feed and a balancer's view that receives its updates.
struct lease_fixture : directory_fixture {
    directory_feed feed { {}, 5 };
    directory_view view;

    /// The announcements of a server at a control host, one interval apart.
    static void announceUntil(directory_feed& target, int number, int until)
    {
        uint64_t sequence = 0;
        for (int time = 0; time <= until; time += 1'200)
            target.announce(announcementOf(number, ++sequence), at(time));
    }
    directory_view::changes transfer(directory_feed& source, int host, int time)
    {
        auto const changes = source.drainChanges(at(time));
        return view.apply(controlHost(host), changes ? *changes : source.lease(), at(time));
    }
    monotonic_time lastSeen(int number) const { return view.livenessOf(idOf(number)).latest(); }
};

int const serverCounts[] = { 30, 3'000, 30'000 };

// Load pattern: many servers that only stay alive. Guards against control traffic that grows with their number.
BOOST_DATA_TEST_CASE_F(lease_fixture, traffic_is_independent_of_the_number_of_healthy_servers, serverCounts, count)
{
    for (int number = 0; number < count; ++number)
        feed.announce(announcementOf(number, 1), at(0));
    transfer(feed, 1, 0);
    feed.markLate(lateThreshold, at(0));
    for (int number = 0; number < count; ++number)
        feed.announce(announcementOf(number, 2), at(1'100));
    checkLate(feed, 400, 1'200);
    BOOST_TEST(!feed.drainChanges(at(1'200)).has_value());
    auto const bytes = encodeFleetMessage(feed.lease());
    BOOST_TEST(bytes.size() <= 32u);
    view.apply(controlHost(1), feed.lease(), at(1'200));
    for (int number = 0; number < count; number += 7)
        BOOST_REQUIRE(lastSeen(number) == at(1'200));
}

// Guards against a server that stopped and still counts as alive because its control host renews the lease.
BOOST_FIXTURE_TEST_CASE(stopped_server_is_reported_with_its_age, lease_fixture)
{
    announceUntil(feed, 1, 4'800);
    announceUntil(feed, 2, 3'600);
    checkLate(feed, 0, 4'800);
    BOOST_CHECK(transfer(feed, 1, 4'800).isComplete == directory_view::completeness::Complete);
    BOOST_CHECK(lastSeen(2) == at(4'800));
    checkLate(feed, 5'200, 5'200);
    transfer(feed, 1, 5'200);
    BOOST_CHECK(lastSeen(1) == at(5'200));
    BOOST_CHECK(lastSeen(2) == at(3'600));
    // Later leases do not renew it, and its next announcement does.
    transfer(feed, 1, 5'600);
    BOOST_CHECK(lastSeen(2) == at(3'600));
    feed.announce(announcementOf(2, 90), at(5'700));
    transfer(feed, 1, 5'700);
    BOOST_CHECK(lastSeen(2) == at(5'700));
}

// Guards against a lost report of a late server: the next lease shows the gap, and renews nothing until it is closed.
BOOST_FIXTURE_TEST_CASE(lost_report_is_detected_by_the_next_lease, lease_fixture)
{
    announceUntil(feed, 1, 3'600);
    checkLate(feed, 0, 4'800);
    transfer(feed, 1, 4'800);
    checkLate(feed, 5'200, 5'200);
    BOOST_REQUIRE(feed.drainChanges(at(5'200)).has_value());
    auto const changes = view.apply(controlHost(1), feed.lease(), at(5'600));
    BOOST_CHECK(changes.isComplete == directory_view::completeness::Gap);
    BOOST_CHECK(lastSeen(1) == at(4'800));
    auto const known = view.positionOf(controlHost(1));
    view.apply(controlHost(1), *feed.updateSince(known.epoch, known.revision, at(5'610)), at(5'610));
    BOOST_CHECK(lastSeen(1) == at(3'600));
    BOOST_CHECK(transfer(feed, 1, 6'000).isComplete == directory_view::completeness::Complete);
}

// Guards against giving up a server whose control host no longer receives its announcements, since it sends them to
// another one by now.
BOOST_FIXTURE_TEST_CASE(server_that_changed_its_control_host_is_not_late, lease_fixture)
{
    directory_feed other({}, 8);
    announceUntil(feed, 1, 1'200);
    checkLate(feed, 0, 2'400);
    transfer(feed, 1, 2'400);
    other.announce(announcementOf(1, 50), at(2'500));
    transfer(other, 2, 2'500);
    checkLate(feed, 2'800, 2'800);
    transfer(feed, 1, 2'800);
    BOOST_CHECK(lastSeen(1) == at(2'500));
    transfer(other, 2, 2'900);
    BOOST_CHECK(lastSeen(1) == at(2'900));
}

// Guards against a full record from each control host when servers move between them, for example after a restart.
BOOST_FIXTURE_TEST_CASE(record_that_peers_have_is_announced_by_its_token, lease_fixture)
{
    directory_feed other({}, 8);
    other.announce(announcementOf(2, 1), at(0));
    announceUntil(feed, 1, 0);
    transfer(feed, 1, 0);
    transfer(other, 2, 0);
    other.recordElsewhere(announcementOf(1, 1));
    other.announce(announcementOf(1, 2), at(1'200));
    auto const update = other.drainChanges(at(1'200));
    BOOST_REQUIRE(update.has_value());
    BOOST_TEST(update->records.empty());
    BOOST_TEST((update->renewed == std::vector<uint32_t> { tokenOf(1) }));
    view.apply(controlHost(2), *update, at(1'200));
    transfer(other, 2, 1'600);
    BOOST_CHECK(lastSeen(1) == at(1'600));
    // A balancer that has no record asks for the whole directory, which contains the record.
    directory_view blank;
    blank.apply(controlHost(2), { 8, 0, 1, {}, {}, server_scope::Own, {}, lease_renewal::Yes }, at(1'100));
    auto const changes = blank.apply(controlHost(2), *update, at(1'200));
    BOOST_CHECK(changes.isComplete == directory_view::completeness::UnknownServer);
    auto const known = blank.positionOf(controlHost(2));
    BOOST_TEST(known.revision == 0u);
    blank.apply(controlHost(2), *other.updateSince(known.epoch, known.revision, at(1'300)), at(1'300));
    BOOST_TEST(blank.directory().find(idOf(1)));
}

// Guards against a restarted control host that confirms servers which announced themselves to its predecessor.
BOOST_FIXTURE_TEST_CASE(lease_of_a_restarted_control_host_does_not_renew_earlier_servers, lease_fixture)
{
    announceUntil(feed, 1, 0);
    announceUntil(feed, 2, 0);
    transfer(feed, 1, 0);
    directory_feed restarted({}, 6);
    restarted.announce(announcementOf(1, 2), at(1'200));
    transfer(restarted, 1, 1'200);
    transfer(restarted, 1, 1'600);
    BOOST_CHECK(lastSeen(1) == at(1'600));
    BOOST_CHECK(lastSeen(2) == at(0));
}

struct age_request_row {
    char const* name;
    /// When the last regular check and the request were handled, in milliseconds.
    int checkedUntil;
    int requestedAt;
    bool isReported;
};
std::ostream& operator<<(std::ostream& stream, age_request_row const& row) { return stream << row.name; }

age_request_row const ageRequestRows[] = {
    { "after a start", 1'200, 1'300, false },
    { "while it runs", 4'000, 4'100, true },
    { "before the first check after a suspension", 4'000, 8'000, false },
};

// Guards against resets of flows because a control host that resumes after a suspension reports the age of a server
// before it has read the announcements that arrived meanwhile.
BOOST_DATA_TEST_CASE_F(lease_fixture, resumed_control_host_reports_no_age, ageRequestRows, row)
{
    announceUntil(feed, 1, 3'600);
    checkLate(feed, 0, row.checkedUntil);
    BOOST_TEST(feed.agesOf({ tokenOf(1) }, at(row.requestedAt)).empty() == !row.isReported);
}

// The same after the first check, until each server had time to announce itself.
BOOST_FIXTURE_TEST_CASE(resumed_control_host_reports_ages_again_after_two_intervals, lease_fixture)
{
    announceUntil(feed, 1, 3'600);
    checkLate(feed, 0, 4'000);
    checkLate(feed, 8'000, 8'400);
    BOOST_TEST(feed.agesOf({ tokenOf(1) }, at(8'500)).empty());
    checkLate(feed, 8'800, 11'200);
    BOOST_TEST(feed.agesOf({ tokenOf(1) }, at(11'300)).size() == 1u);
}

struct pause_row {
    char const* name;
    int seconds;
};
std::ostream& operator<<(std::ostream& stream, pause_row const& row) { return stream << row.name; }

pause_row const pauseRows[] = { { "3 s", 3 }, { "10 s", 10 }, { "30 s", 30 } };

// Guards against a control host that resumes after a suspension and reports all servers as late, although only it has
// missed their announcements.
BOOST_DATA_TEST_CASE_F(lease_fixture, resumed_control_host_reports_no_server_as_late, pauseRows, row)
{
    for (int number = 0; number < 20; ++number)
        announceUntil(feed, number, 2'400);
    checkLate(feed, 0, 2'800);
    transfer(feed, 1, 2'800);
    auto const resumedAt = 2'800 + row.seconds * 1'000;
    checkLate(feed, resumedAt, resumedAt + 800);
    BOOST_TEST(transfer(feed, 1, resumedAt + 800).renewed.empty());
    for (int number = 1; number < 20; ++number)
        feed.announce(announcementOf(number, 900), at(resumedAt + 1'000));
    checkLate(feed, resumedAt + 1'200, resumedAt + 2'000);
    for (int number = 1; number < 20; ++number)
        feed.announce(announcementOf(number, 901), at(resumedAt + 2'200));
    checkLate(feed, resumedAt + 2'400, resumedAt + 3'200);
    // The server that really stopped is reported once the others had time to announce themselves.
    auto const changes = transfer(feed, 1, resumedAt + 3'200);
    BOOST_REQUIRE(changes.renewed.size() == 1u);
    BOOST_TEST(changes.renewed.front().first == tokenOf(0));
}

struct announcer_row {
    char const* name;
    /// Number of the control host, and the epoch of its directory.
    int host;
    uint64_t epoch;
    bool isAnnouncer;
};
std::ostream& operator<<(std::ostream& stream, announcer_row const& row) { return stream << row.name; }

announcer_row const announcerRows[] = {
    { "host that the server has left", 1, 5, false },
    { "host that the server announces itself to", 2, 8, true },
    { "new incarnation of that host", 2, 9, false },
    { "host that sent no directory", 3, 0, false },
};

// Guards against taking the age that a control host reports of a server for its last announcement, while the server
// announces itself to another control host.
BOOST_DATA_TEST_CASE_F(lease_fixture, announcer_is_the_host_that_received_the_last_announcement, announcerRows, row)
{
    directory_feed other({}, 8);
    announceUntil(feed, 1, 1'200);
    transfer(feed, 1, 1'200);
    BOOST_TEST(view.isAnnouncer(controlHost(1), tokenOf(1)));
    other.announce(announcementOf(1, 50), at(2'400));
    transfer(other, 2, 2'400);
    directory_feed source({}, row.epoch);
    if (row.epoch > 0)
        view.apply(controlHost(row.host), source.lease(), at(2'500));
    BOOST_TEST(view.isAnnouncer(controlHost(row.host), tokenOf(1)) == row.isAnnouncer);
    BOOST_TEST(!view.isAnnouncer(controlHost(row.host), tokenOf(7)));
}

// Guards against two control hosts that both received announcements of a server: the one that is out of date must not
// have the last word.
BOOST_FIXTURE_TEST_CASE(late_report_is_contradicted_by_the_host_that_received_the_announcements, lease_fixture)
{
    directory_feed other({}, 8);
    announceUntil(other, 1, 0);
    transfer(other, 2, 0);
    announceUntil(feed, 1, 3'600);
    // The balancer has missed that the server moved to the first control host.
    BOOST_REQUIRE(feed.drainChanges(at(3'600)).has_value());
    view.setPosition({ controlHost(1), 5, feed.lease().toRevision });
    checkLate(other, 0, 2'400);
    checkLate(other, 2'800, 3'600);
    transfer(other, 2, 3'600);
    BOOST_CHECK(lastSeen(1) == at(0));
    feed.contradictLate(idOf(1), at(0));
    transfer(feed, 1, 3'700);
    BOOST_CHECK(lastSeen(1) == at(3'700));
}

// Guards against a released server that is reported as late by the control host that it left.
BOOST_FIXTURE_TEST_CASE(released_server_is_not_reported, lease_fixture)
{
    announceUntil(feed, 1, 0);
    feed.drainChanges(at(0));
    feed.release(idOf(1));
    checkLate(feed, 0, 6'000);
    BOOST_TEST(!feed.drainChanges(at(6'000)).has_value());
}

// A control host is replaced by an empty one at another address. Guards against servers that are given up, or forgotten
// with their open flows, because the host that they announced themselves to is gone.
BOOST_FIXTURE_TEST_CASE(servers_survive_the_replacement_of_their_control_host, lease_fixture)
{
    for (int number = 0; number < 20; ++number)
        announceUntil(feed, number, 1'200);
    transfer(feed, 1, 1'200);
    directory_feed successor({}, 9);
    for (int number = 0; number < 20; ++number)
        successor.announce(announcementOf(number, 50), at(3'400));
    auto const changes = transfer(successor, 4, 3'400);
    // No balancer regards them as new or changed, so no state of a flow or of its server is reset.
    BOOST_TEST(changes.changed.empty());
    transfer(successor, 4, 20'000);
    BOOST_TEST(view.expire(at(20'000)).empty());
    for (int number = 0; number < 20; ++number)
        BOOST_CHECK(lastSeen(number) == at(20'000));
    // Even without any announcement, a server is kept for longer than a flow lives.
    BOOST_TEST(view.expire(at(100'000)).empty());
}

// Guards against a server that has left and is used again, because a control host restored a directory that it had
// saved before the server left.
BOOST_FIXTURE_TEST_CASE(server_that_left_stays_gone_after_a_host_restored_older_state, lease_fixture)
{
    announceUntil(feed, 1, 1'200);
    auto const saved = feed.fullUpdate(at(1'200));
    transfer(feed, 1, 1'200);
    auto leave = announcementOf(1, 0, backend_state::Gone);
    BOOST_CHECK(feed.announce(leave, at(1'500)) == announcement_effect::Changed);
    transfer(feed, 1, 1'500);
    // The restored copy arrives in a page of another host, and as an update of the previous release.
    directory_pages pages;
    pages.assign({ { { announcementOf(1, 2), std::chrono::seconds(4) }, false, 0 } }, { { controlHost(2), 7, 1 } },
        server_scope::All);
    BOOST_TEST(view.apply(controlHost(2), pages.pageAt({}, "zone-1"), at(1'600)).changed.empty());
    BOOST_TEST(view.apply(controlHost(2), saved, at(1'700)).changed.empty());
    BOOST_CHECK(view.directory().find(idOf(1))->announcement.state == backend_state::Gone);
    // Nor does a delayed announcement of the same incarnation bring it back.
    BOOST_CHECK(feed.announce(announcementOf(1, 3), at(9'000)) == announcement_effect::Ignored);
}

// Load pattern: hundreds of servers stop at once. Guards against reports that are repeated with each lease.
BOOST_FIXTURE_TEST_CASE(servers_that_stop_together_are_reported_once, lease_fixture)
{
    for (int number = 0; number < 1'000; ++number)
        announceUntil(feed, number, 0);
    transfer(feed, 1, 0);
    checkLate(feed, 0, 6'000);
    auto const update = feed.drainChanges(at(6'000));
    BOOST_REQUIRE(update.has_value());
    BOOST_TEST(update->late.size() == 1'000u);
    BOOST_TEST(encodeFleetMessage(*update).size() < 8'000u);
    checkLate(feed, 6'400, 12'000);
    BOOST_TEST(!feed.drainChanges(at(12'000)).has_value());
}

// A server that warms up again while it begins to announce itself to another control host. Guards against a receiver
// that takes it for warm, because the record seems to be known.
BOOST_FIXTURE_TEST_CASE(another_warm_up_is_reported_by_another_control_host, lease_fixture)
{
    auto announcement = announcementOf(1, 1);
    announcement.remainingWarmUp = std::chrono::seconds(8);
    feed.announce(announcement, at(0));
    transfer(feed, 1, 0);
    directory_feed other { {}, 6 };
    other.recordElsewhere(announcement, at(8'000));
    other.announce(announcementOf(2, 1), at(0));
    transfer(other, 2, 0);
    ++announcement.sequence;
    announcement.remainingWarmUp = std::chrono::milliseconds(7'500);
    other.announce(announcement, at(30'000));
    auto const changes = transfer(other, 2, 30'000);
    BOOST_REQUIRE(changes.changed.size() == 1U);
    BOOST_CHECK(view.directory().find(idOf(1))->announcement.remainingWarmUp == std::chrono::milliseconds(7'500));
}

} // namespace
