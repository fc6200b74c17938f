#include <Fleet/directory_feed.h>
#include <Fleet/directory_view.h>
#include <Placement/flow_token.h>
#include <boost/test/unit_test.hpp>

using namespace bilberryyard;

namespace {

monotonic_time at(int milliseconds)
{
    return monotonic_time {} + std::chrono::milliseconds { 1'000'000 + milliseconds };
}
ip_endpoint const control { ip_address::fromIpv4(0x0a010001), 7'720 };
ip_endpoint const otherControl { ip_address::fromIpv4(0x0a010002), 7'720 };

backend_announcement announcementOf(
    std::string const& id, uint64_t sequence, backend_state state = backend_state::Ready)
{
    backend_announcement result;
    result.id = id;
    result.service = "orders";
    result.address = { ip_address::fromIpv4(0x0a000001 + static_cast<uint32_t>(id.back())), 80 };
    result.startedAtMs = 100;
    result.sequence = sequence;
    result.state = state;
    return result;
}

// Guards against a balancer that never receives a change because one datagram was lost.
BOOST_AUTO_TEST_CASE(lost_update_is_sent_again)
{
    directory_feed feed({}, 5);
    directory_view view;
    feed.announce(announcementOf("i-1", 1), at(0));
    view.apply(control, *feed.drainChanges(at(0)), at(0));
    feed.announce(announcementOf("i-1", 2, backend_state::Draining), at(100));
    BOOST_REQUIRE(feed.drainChanges(at(100)).has_value());
    // That update is lost. A later update about another server arrives, and must not hide the gap.
    feed.announce(announcementOf("i-2", 1), at(200));
    view.apply(control, *feed.drainChanges(at(200)), at(200));
    auto const knownPosition = view.positionOf(control);
    auto const missingUpdate = feed.updateSince(knownPosition.epoch, knownPosition.revision, at(300));
    BOOST_REQUIRE(missingUpdate.has_value());
    view.apply(control, *missingUpdate, at(300));
    BOOST_CHECK(view.directory().find("i-1")->announcement.state == backend_state::Draining);
    auto const now = view.positionOf(control);
    BOOST_TEST(!feed.updateSince(now.epoch, now.revision, at(400)).has_value());
}

// Guards against confusing the empty directory of a restarted control host with that of its earlier incarnation.
BOOST_AUTO_TEST_CASE(restarted_control_host_sends_everything)
{
    directory_view view;
    directory_feed before({}, 5);
    before.announce(announcementOf("i-1", 1), at(0));
    view.apply(control, *before.drainChanges(at(0)), at(0));
    directory_feed after({}, 6);
    auto const knownPosition = view.positionOf(control);
    auto const missingUpdate = after.updateSince(knownPosition.epoch, knownPosition.revision, at(100));
    BOOST_REQUIRE(missingUpdate.has_value());
    view.apply(control, *missingUpdate, at(100));
    BOOST_TEST(view.positionOf(control).epoch == 6u);
    BOOST_TEST(view.directory().find("i-1"));
}

// Guards against renewals that contain full records, since renewals are most of the traffic to hosts that know no
// leases. Other hosts get no renewals at all.
BOOST_AUTO_TEST_CASE(renewal_is_a_token)
{
    directory_feed feed({}, 5);
    feed.announce(announcementOf("i-1", 1), at(0));
    feed.drainChanges(at(0));
    feed.drainRenewals();
    feed.announce(announcementOf("i-1", 2), at(500));
    BOOST_TEST(!feed.hasChanges());
    BOOST_TEST(!feed.drainChanges(at(500)).has_value());
    BOOST_TEST((feed.drainRenewals() == std::vector<uint32_t> { flowToken("i-1") }));
    BOOST_TEST(feed.drainRenewals().empty());
}

// Guards against a restored record that takes precedence over an announcement of the server itself.
BOOST_AUTO_TEST_CASE(restored_record_is_superseded_by_an_announcement_of_the_server)
{
    directory_view view;
    auto const age = backend_directory_settings().announcementTimeout;
    view.apply(control, { 5, 0, 1, { { announcementOf("i-1", 900), age } }, {}, server_scope::All }, at(0));
    directory_feed feed({}, 6);
    feed.announce(announcementOf("i-1", 3, backend_state::Draining), at(10));
    auto const changes = view.apply(otherControl, *feed.drainChanges(at(10)), at(10));
    BOOST_CHECK(changes.changed == std::vector<std::string> { "i-1" });
    BOOST_CHECK(view.directory().find("i-1")->announcement.state == backend_state::Draining);
}

// Guards against a stale record of one control host that overwrites a later announcement received by another.
BOOST_AUTO_TEST_CASE(later_announcement_at_another_control_host_wins)
{
    directory_view view;
    view.apply(control, { 5, 0, 1, { { announcementOf("i-1", 5), {} } }, {}, server_scope::Own }, at(0));
    view.apply(otherControl,
        { 8, 0, 1, { { announcementOf("i-1", 6, backend_state::Draining), {} } }, {}, server_scope::Own }, at(100));
    auto const changes = view.apply(control,
        { 5, 0, 1, { { announcementOf("i-1", 5), std::chrono::seconds(1) } }, {}, server_scope::Own }, at(1'000));
    BOOST_TEST(changes.changed.empty());
    BOOST_CHECK(view.directory().find("i-1")->announcement.state == backend_state::Draining);
}

backend_announcement atAddress(std::string const& id, uint32_t address, int64_t startedAtMs, std::string const& service)
{
    auto result = announcementOf(id, 1);
    result.address.address = ip_address::fromIpv4(address);
    result.startedAtMs = startedAtMs;
    result.service = service;
    return result;
}

// Guards against a late heartbeat of a crashed server, received by a control host that has not seen its successor for
// some seconds, which ends the flows of the successor (review case 4).
BOOST_AUTO_TEST_CASE(late_announcement_displaces_no_server_that_another_control_host_confirms)
{
    auto const crashed = atAddress("i-1", 0x0a000001, 100, "orders");
    auto successor = atAddress("i-2", 0x0a000001, 200, "orders");
    directory_feed feed({}, 5);
    directory_feed otherFeed({}, 6);
    directory_view view;
    view.setServices({ "orders" }, at(0));
    // The successor announces itself to one control host, and then only to the other.
    feed.announce(successor, at(0));
    view.apply(control, *feed.drainChanges(at(0)), at(0));
    successor.sequence = 2;
    otherFeed.announce(successor, at(1'000));
    view.apply(otherControl, *otherFeed.drainChanges(at(1'000)), at(1'000));
    for (int now = 2'000; now <= 6'000; now += 400)
        view.apply(otherControl, otherFeed.lease(), at(now));
    feed.announce(crashed, at(6'000));
    auto const changes = view.apply(control, *feed.drainChanges(at(6'000)), at(6'000));
    BOOST_CHECK(view.directory().find("i-2")->state() == backend_state::Ready);
    BOOST_CHECK(view.directory().find("i-1")->state() == backend_state::Gone);
    BOOST_TEST((changes.displaced == std::vector<std::string> { "i-1" }));
}

// Guards against a record that is lost because it arrives before the configuration that names its service.
BOOST_AUTO_TEST_CASE(deferred_record_is_applied_with_the_configuration_that_names_its_service)
{
    directory_view view;
    view.setServices({ "orders" }, at(0));
    auto const feedOf = [](uint64_t epoch, backend_announcement const& announcement) {
        return directory_update { epoch, 0, 1, { { announcement, {} } }, {}, server_scope::Own, {},
            lease_renewal::Yes };
    };
    view.apply(control, feedOf(5, atAddress("i-1", 0x0a000001, 100, "orders")), at(0));
    view.apply(otherControl, feedOf(6, atAddress("i-1", 0x0a000002, 200, "gallery")), at(100));
    BOOST_TEST(view.directory().find("i-1")->announcement.service == "orders");
    auto const changes = view.setServices({ "orders", "gallery" }, at(200));
    BOOST_TEST((changes.changed == std::vector<std::string> { "i-1" }));
    BOOST_TEST(view.directory().find("i-1")->announcement.service == "gallery");
    // The control host that the server announces itself to now confirms it.
    view.apply(otherControl, { 6, 1, 1, {}, {}, server_scope::Own, {}, lease_renewal::Yes }, at(3'000));
    BOOST_CHECK(view.livenessOf("i-1").latest() == at(3'000));
}

// Guards against an announcement of another program that reaches balancers through a control host to which the server
// of the same identifier does not announce itself.
BOOST_AUTO_TEST_CASE(announcement_that_contradicts_another_control_host_is_deferred)
{
    directory_feed feed({}, 5);
    feed.setServices({ "orders" });
    feed.recordElsewhere(atAddress("i-1", 0x0a000001, 100, "orders"));
    auto const foreign = atAddress("i-1", 0x0a000002, 200, "nobody");
    BOOST_CHECK(feed.announce(foreign, at(0)) == announcement_effect::Deferred);
    BOOST_TEST(!feed.hasChanges());
    feed.setServices({ "orders", "nobody" });
    BOOST_CHECK(feed.announce(foreign, at(100)) == announcement_effect::Added);
}

// Guards against a restored record of a server that drains meanwhile: renewed by its token alone, it says ready for as
// long as the server drains (review case 5).
BOOST_AUTO_TEST_CASE(token_does_not_renew_a_record_that_is_older_than_the_senders)
{
    auto const restored = announcementOf("i-1", 4);
    auto const draining = announcementOf("i-1", 5, backend_state::Draining);
    // The control host that was restarted reported the change to the other one, which the server now calls.
    directory_feed feed({}, 6);
    feed.recordElsewhere(draining);
    auto repeated = draining;
    repeated.sequence = 6;
    feed.announce(repeated, at(0));
    auto const update = feed.drainChanges(at(0));
    BOOST_REQUIRE(update->records.empty());

    directory_view view;
    auto const age = backend_directory_settings().announcementTimeout;
    view.apply(control, { 5, 0, 1, { { restored, age } }, {}, server_scope::All }, at(0));
    auto const omitted = feed.updateSince(0, 0, at(100), known_records::Omitted);
    auto const changes = view.apply(otherControl, *omitted, at(100));
    BOOST_CHECK(changes.isComplete == directory_view::completeness::UnknownServer);
    BOOST_CHECK(view.livenessOf("i-1").latest() == at(0) - age);
    view.apply(otherControl, *feed.updateSince(0, 0, at(200), known_records::Included), at(200));
    BOOST_CHECK(view.directory().find("i-1")->state() == backend_state::Draining);
    // From then on the token is enough.
    auto const again = view.apply(otherControl, *omitted, at(300));
    BOOST_CHECK(again.isComplete == directory_view::completeness::Complete);
}

} // namespace
