#include <Membership/backend_directory.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>

using namespace bilberryyard;

namespace {

monotonic_time at(int milliseconds)
{
    return monotonic_time {} + std::chrono::milliseconds { 1'000'000 + milliseconds };
}

backend_announcement announcementOf(
    std::string const& id, uint16_t port, int64_t startedAtMs, uint64_t sequence, backend_state state)
{
    backend_announcement result;
    result.id = id;
    result.service = "orders";
    result.address = { ip_address::fromIpv4(0x0a000001), port };
    result.zone = "a";
    result.slots = 2;
    result.startedAtMs = startedAtMs;
    result.sequence = sequence;
    result.state = state;
    return result;
}

constexpr auto ready = backend_state::Ready;
constexpr auto draining = backend_state::Draining;
constexpr auto gone = backend_state::Gone;

struct order_row {
    char const* name;
    backend_announcement first;
    backend_announcement second;
    /// Time from the first announcement to the second.
    int gapMs;
    announcement_effect effect;
    /// Expected state of the second announcement's server; no value if it must be unknown.
    std::optional<backend_state> stateAfter;
};
std::ostream& operator<<(std::ostream& stream, order_row const& row) { return stream << row.name; }

order_row const orderRows[] = {
    { "renewal", announcementOf("i-1", 80, 100, 1, ready), announcementOf("i-1", 80, 100, 2, ready), 1'000,
        announcement_effect::Renewed, ready },
    { "drain", announcementOf("i-1", 80, 100, 1, ready), announcementOf("i-1", 80, 100, 2, draining), 1'000,
        announcement_effect::Changed, draining },
    { "late announcement does not undo a drain", announcementOf("i-1", 80, 100, 5, draining),
        announcementOf("i-1", 80, 100, 4, ready), 1'000, announcement_effect::Ignored, draining },
    { "late announcement does not bring back a server that has left", announcementOf("i-1", 80, 100, 5, gone),
        announcementOf("i-1", 80, 100, 9, ready), 60'000, announcement_effect::Ignored, gone },
    { "restarted server begins its sequence again", announcementOf("i-1", 80, 100, 900, ready),
        announcementOf("i-1", 80, 200, 1, ready), 500, announcement_effect::Changed, ready },
    { "server restarts after it has left", announcementOf("i-1", 80, 100, 900, gone),
        announcementOf("i-1", 80, 200, 1, ready), 500, announcement_effect::Changed, ready },
    { "late announcement of the previous incarnation", announcementOf("i-1", 80, 200, 1, ready),
        announcementOf("i-1", 80, 100, 900, draining), 500, announcement_effect::Ignored, ready },
    { "restart after the clock stepped back, previous incarnation timed out", announcementOf("i-1", 80, 200, 1, ready),
        announcementOf("i-1", 80, 100, 1, ready), 4'100, announcement_effect::Changed, ready },
    { "late announcement of a dead server whose address is in use", announcementOf("i-2", 80, 200, 1, ready),
        announcementOf("i-1", 80, 100, 50, ready), 500, announcement_effect::Ignored, std::nullopt },
    { "new server at the address of a dead one", announcementOf("i-1", 80, 100, 50, ready),
        announcementOf("i-2", 80, 200, 1, ready), 500, announcement_effect::Added, ready },
    { "announcements without a start time are ordered by sequence", announcementOf("i-1", 80, 0, 7, ready),
        announcementOf("i-1", 80, 0, 6, draining), 500, announcement_effect::Ignored, ready },
    { "restarted server without a start time", announcementOf("i-1", 80, 0, 700, ready),
        announcementOf("i-1", 80, 0, 1, ready), 4'100, announcement_effect::Renewed, ready },
    { "leave of an unknown server", announcementOf("i-2", 81, 100, 1, ready), announcementOf("i-1", 0, 0, 0, gone), 100,
        announcement_effect::Added, gone },
    { "leave of an earlier incarnation", announcementOf("i-1", 80, 200, 1, ready),
        announcementOf("i-1", 0, 100, 0, gone), 100, announcement_effect::Ignored, ready },
};

// Guards against late or repeated announcements, or those of another server, that revive a dead server or end a live
// one.
BOOST_DATA_TEST_CASE(later_incarnation_and_sequence_take_precedence, orderRows, row)
{
    backend_directory directory;
    directory.apply(row.first, at(0), at(0));
    BOOST_CHECK(directory.apply(row.second, at(row.gapMs), at(row.gapMs)) == row.effect);
    auto const* const entry = directory.find(row.second.id);
    BOOST_REQUIRE((entry != nullptr) == row.stateAfter.has_value());
    if (entry)
        BOOST_CHECK(entry->announcement.state == *row.stateAfter);
}

// Guards against a leave that discards the server's address, by which packets of its flows are recognised.
BOOST_AUTO_TEST_CASE(leave_keeps_the_address_of_the_server)
{
    backend_directory directory;
    directory.apply(announcementOf("i-1", 80, 100, 1, ready), at(0), at(0));
    backend_announcement leave;
    leave.id = "i-1";
    leave.state = gone;
    BOOST_CHECK(directory.apply(leave, at(10), at(10)) == announcement_effect::Changed);
    auto const* const entry = directory.find("i-1");
    BOOST_REQUIRE(entry);
    BOOST_TEST(entry->announcement.service == "orders");
    BOOST_TEST(entry->announcement.address.port == 80);
}

// Guards against two servers at one address that both get flows.
BOOST_AUTO_TEST_CASE(address_belongs_to_the_latest_incarnation)
{
    backend_directory directory;
    directory.apply(announcementOf("i-1", 80, 100, 1, ready), at(0), at(0));
    directory.apply(announcementOf("i-2", 80, 200, 1, ready), at(10), at(10));
    BOOST_CHECK(directory.find("i-1")->announcement.state == gone);
    BOOST_CHECK(directory.find("i-2")->announcement.state == ready);
}

// Guards against an outdated record that another control host resends after a later announcement of the server.
BOOST_AUTO_TEST_CASE(old_record_of_another_host_is_ignored)
{
    backend_directory directory;
    directory.apply(announcementOf("i-1", 80, 100, 6, draining), at(10'000), at(10'000));
    // Received before the drain, but delivered long after the last announcement.
    auto const effect = directory.apply(announcementOf("i-1", 80, 100, 5, ready), at(9'000), at(20'000));
    BOOST_CHECK(effect == announcement_effect::Ignored);
}

// Guards against a directory that grows without bound in a deployment whose servers are replaced continually.
BOOST_AUTO_TEST_CASE(unresponsive_servers_are_removed)
{
    backend_directory directory;
    for (int index = 0; index < 100; ++index) {
        auto const id = "i-" + std::to_string(index);
        directory.apply(announcementOf(id, static_cast<uint16_t>(1'000 + index), 100, 1, ready), at(0), at(0));
    }
    BOOST_TEST(directory.expire(at(60'000)).empty());
    BOOST_TEST(directory.expire(at(121'000)).size() == 100u);
    BOOST_TEST(directory.entries().empty());
}

} // namespace
