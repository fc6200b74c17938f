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

// Guards against a balancer that misses a change because one datagram was lost.
BOOST_AUTO_TEST_CASE(lost_update_is_sent_again)
{
    directory_feed feed({}, 5);
    directory_view view;
    feed.announce(announcementOf("i-1", 1), at(0));
    view.apply(control, *feed.drainChanges(at(0)), at(0));
    feed.announce(announcementOf("i-1", 2, backend_state::Draining), at(100));
    BOOST_REQUIRE(feed.drainChanges(at(100)).has_value());
    // The update is lost; a later renewal of another server arrives, and does not hide the gap.
    feed.announce(announcementOf("i-2", 1), at(200));
    view.apply(control, *feed.drainChanges(at(200)), at(200));
    auto const held = view.positionOf(control);
    auto const missing = feed.missing(held.epoch, held.revision, at(300));
    BOOST_REQUIRE(missing.has_value());
    view.apply(control, *missing, at(300));
    BOOST_CHECK(view.directory().find("i-1")->announcement.state == backend_state::Draining);
    auto const now = view.positionOf(control);
    BOOST_TEST(!feed.missing(now.epoch, now.revision, at(400)).has_value());
}

// Guards against a restarted control host whose empty directory is mistaken for the one before.
BOOST_AUTO_TEST_CASE(restarted_control_host_sends_everything)
{
    directory_view view;
    directory_feed before({}, 5);
    before.announce(announcementOf("i-1", 1), at(0));
    view.apply(control, *before.drainChanges(at(0)), at(0));
    directory_feed after({}, 6);
    auto const held = view.positionOf(control);
    auto const missing = after.missing(held.epoch, held.revision, at(100));
    BOOST_REQUIRE(missing.has_value());
    view.apply(control, *missing, at(100));
    BOOST_TEST(view.positionOf(control).epoch == 6u);
    BOOST_TEST(view.directory().find("i-1"));
}

// Guards against renewals that carry whole records: they are most of the traffic.
BOOST_AUTO_TEST_CASE(renewal_is_a_token)
{
    directory_feed feed({}, 5);
    feed.announce(announcementOf("i-1", 1), at(0));
    feed.drainChanges(at(0));
    feed.announce(announcementOf("i-1", 2), at(500));
    BOOST_TEST(!feed.hasChanges());
    auto const update = feed.drainChanges(at(500));
    BOOST_REQUIRE(update.has_value());
    BOOST_TEST(update->records.empty());
    BOOST_TEST((update->renewed == std::vector<uint32_t> { flowToken("i-1") }));
    BOOST_TEST(!feed.drainChanges(at(600)).has_value());
}

// Guards against restored knowledge that outweighs what a server says itself.
BOOST_AUTO_TEST_CASE(restored_server_gives_way_to_its_own_word)
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

// Guards against a late record of one control host that undoes what another has heard.
BOOST_AUTO_TEST_CASE(later_word_of_another_control_host_counts)
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

} // namespace
