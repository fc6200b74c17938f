#include <Membership/backend_directory.h>
#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <numeric>

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

backend_announcement withService(backend_announcement announcement, std::string const& service)
{
    announcement.service = service;
    return announcement;
}

/// @return A directory that knows a configuration with the service of announcementOf().
backend_directory configuredDirectory()
{
    backend_directory directory;
    directory.setServices({ "orders" });
    return directory;
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
    /// Expected state of the second announcement's server.
    backend_state stateAfter;
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
        announcementOf("i-1", 80, 100, 50, ready), 500, announcement_effect::Added, gone },
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
    auto directory = configuredDirectory();
    directory.apply(row.first, at(0), at(0));
    BOOST_CHECK(directory.apply(row.second, at(row.gapMs), at(row.gapMs)) == row.effect);
    auto const* const entry = directory.find(row.second.id);
    BOOST_REQUIRE(entry);
    BOOST_CHECK(entry->state() == row.stateAfter);
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
    auto directory = configuredDirectory();
    directory.apply(announcementOf("i-1", 80, 100, 1, ready), at(0), at(0));
    directory.apply(announcementOf("i-2", 80, 200, 1, ready), at(10), at(10));
    BOOST_CHECK(directory.find("i-1")->state() == gone);
    BOOST_CHECK(directory.find("i-2")->state() == ready);
}

struct claim_row {
    char const* name;
    /// Announcements of one address.
    std::vector<backend_announcement> announcements;
    /// Expected states in the order of the announcements.
    std::vector<backend_state> states;
};
std::ostream& operator<<(std::ostream& stream, claim_row const& row) { return stream << row.name; }

claim_row const claimRows[] = {
    { "later start", { announcementOf("i-1", 80, 100, 1, ready), announcementOf("i-2", 80, 200, 1, ready) },
        { gone, ready } },
    { "three servers one after the other",
        { announcementOf("i-1", 80, 100, 1, ready), announcementOf("i-2", 80, 200, 1, ready),
            announcementOf("i-3", 80, 300, 1, ready) },
        { gone, gone, ready } },
    { "unconfigured service with a later start",
        { announcementOf("i-1", 80, 100, 1, ready), withService(announcementOf("i-2", 80, 200, 1, ready), "nobody") },
        { ready, gone } },
    { "unconfigured service with an earlier start",
        { announcementOf("i-1", 80, 100, 1, ready), withService(announcementOf("i-2", 80, 50, 1, ready), "nobody") },
        { ready, gone } },
    { "unconfigured service between two servers",
        { announcementOf("i-1", 80, 100, 1, ready), withService(announcementOf("i-2", 80, 200, 1, ready), "nobody"),
            announcementOf("i-3", 80, 300, 1, ready) },
        { gone, gone, ready } },
    { "two unconfigured services",
        { withService(announcementOf("i-1", 80, 100, 1, ready), "nobody"),
            withService(announcementOf("i-2", 80, 200, 1, ready), "none") },
        { ready, ready } },
    { "equal start times", { announcementOf("i-1", 80, 0, 1, ready), announcementOf("i-2", 80, 0, 1, ready) },
        { ready, ready } },
    { "later server has left", { announcementOf("i-1", 80, 100, 1, ready), announcementOf("i-2", 80, 200, 1, gone) },
        { ready, gone } },
};

// Guards against a live server whose flows are reset because of another program's announcement (review case 2), and
// against a directory in which the order of arrival decides.
BOOST_DATA_TEST_CASE(owner_of_an_address_is_independent_of_the_order_of_announcements, claimRows, row)
{
    std::vector<size_t> order(row.announcements.size());
    std::iota(order.begin(), order.end(), size_t { 0 });
    do {
        // The configuration may arrive before, between and after the announcements.
        for (size_t configuredAfter = 0; configuredAfter <= order.size(); ++configuredAfter) {
            backend_directory directory;
            for (size_t step = 0; step <= order.size(); ++step) {
                if (step == configuredAfter)
                    directory.setServices({ "orders" });
                if (step < order.size())
                    directory.apply(row.announcements[order[step]], at(0), at(0));
            }
            for (size_t index = 0; index < row.announcements.size(); ++index) {
                auto const& id = row.announcements[index].id;
                BOOST_TEST_CONTEXT(id << " configured after " << configuredAfter << ", first " << order.front())
                BOOST_CHECK(directory.find(id)->state() == row.states[index]);
            }
        }
    } while (std::next_permutation(order.begin(), order.end()));
}

// Guards against a balancer that starts with servers but without a configuration, and ends the flows of a live one.
BOOST_AUTO_TEST_CASE(no_server_is_displaced_before_the_first_configuration)
{
    backend_directory directory;
    directory.apply(announcementOf("i-1", 80, 100, 1, ready), at(0), at(0));
    directory.apply(announcementOf("i-2", 80, 200, 1, ready), at(0), at(0));
    BOOST_CHECK(directory.find("i-1")->state() == ready);
    directory.setServices({ "orders" });
    BOOST_CHECK(directory.find("i-1")->state() == gone);
    BOOST_TEST((directory.drainDisplacementChanges() == std::vector<std::string> { "i-1" }));
}

// Guards against flows that are reset because a change of the configuration no longer names their server's service.
BOOST_AUTO_TEST_CASE(removed_service_does_not_displace_its_servers)
{
    backend_directory directory;
    // A dead server of another service had the address before.
    directory.setServices({ "orders", "gallery" });
    directory.apply(withService(announcementOf("i-1", 80, 100, 1, ready), "gallery"), at(0), at(0));
    directory.apply(announcementOf("i-2", 80, 200, 1, ready), at(5'000), at(5'000));
    directory.setServices({ "gallery" });
    BOOST_CHECK(directory.find("i-2")->state() == ready);
}

// Guards against a server of a reused address that is taken for one that has moved away (review case 3).
BOOST_AUTO_TEST_CASE(moved_server_keeps_no_claim_to_its_old_address)
{
    auto directory = configuredDirectory();
    directory.apply(announcementOf("i-1", 80, 100, 1, ready), at(0), at(0));
    directory.apply(announcementOf("i-1", 81, 200, 1, ready), at(500), at(500));
    directory.apply(announcementOf("i-2", 80, 300, 1, ready), at(3'000), at(3'000));
    BOOST_CHECK(directory.find("i-1")->state() == ready);
    BOOST_CHECK(directory.find("i-2")->state() == ready);
    BOOST_TEST(directory.contestedAddresses().empty());
}

// Guards against an exception, which would end the process, when an expired server has had several addresses.
BOOST_AUTO_TEST_CASE(expired_server_leaves_no_claim_to_any_address)
{
    auto directory = configuredDirectory();
    directory.apply(announcementOf("i-1", 80, 100, 1, ready), at(0), at(0));
    directory.apply(announcementOf("i-1", 81, 200, 1, ready), at(500), at(500));
    BOOST_TEST(directory.expire(at(121'000)).size() == 1u);
    for (uint16_t const port : { uint16_t { 80 }, uint16_t { 81 } }) {
        auto const id = "i-" + std::to_string(port);
        BOOST_CHECK(directory.apply(announcementOf(id, port, 300, 1, ready), at(121'000), at(121'000))
            == announcement_effect::Added);
        BOOST_CHECK(directory.find(id)->state() == ready);
    }
}

// Guards against a new server that stays without flows because its host's clock is behind that of its predecessor.
BOOST_AUTO_TEST_CASE(server_with_an_earlier_start_gets_the_address_of_a_silent_one)
{
    auto directory = configuredDirectory();
    directory.apply(announcementOf("i-1", 80, 200, 1, ready), at(0), at(0));
    directory.apply(announcementOf("i-2", 80, 100, 1, ready), at(2'500), at(2'500));
    BOOST_CHECK(directory.find("i-2")->state() == gone);
    directory.setLastSeen("i-2", at(4'000));
    directory.reevaluateAddresses();
    BOOST_CHECK(directory.find("i-2")->state() == ready);
    BOOST_CHECK(directory.find("i-1")->state() == gone);
}

// Guards against a server that has left and takes the address back from its successor, which no announcement of its own
// supports.
BOOST_AUTO_TEST_CASE(server_that_has_left_takes_no_address_by_the_time_it_was_seen)
{
    auto directory = configuredDirectory();
    directory.apply(announcementOf("i-1", 80, 100, 1, ready), at(0), at(0));
    directory.apply(announcementOf("i-1", 80, 100, 1, gone), at(0), at(0));
    directory.apply(announcementOf("i-2", 80, 200, 1, ready), at(1'000), at(1'000));
    directory.setLastSeen("i-1", at(5'000));
    directory.reevaluateAddresses();
    BOOST_CHECK(directory.find("i-2")->state() == ready);
}

struct identifier_row {
    char const* name;
    backend_announcement first;
    backend_announcement second;
    announcement_effect effect;
};
std::ostream& operator<<(std::ostream& stream, identifier_row const& row) { return stream << row.name; }

identifier_row const identifierRows[] = {
    { "unconfigured service at another address", announcementOf("i-1", 80, 100, 9, ready),
        withService(announcementOf("i-1", 81, 200, 1, ready), "nobody"), announcement_effect::Deferred },
    // The address stays, so open flows reach the same process in any case.
    { "unconfigured service at the same address", announcementOf("i-1", 80, 100, 9, ready),
        withService(announcementOf("i-1", 80, 200, 1, ready), "nobody"), announcement_effect::Changed },
    { "configured service after a later start of an unconfigured one",
        withService(announcementOf("i-1", 81, 900, 70, ready), "nobody"), announcementOf("i-1", 80, 100, 9, ready),
        announcement_effect::Changed },
    { "leave is not undone", withService(announcementOf("i-1", 80, 100, 9, gone), "nobody"),
        announcementOf("i-1", 80, 100, 10, ready), announcement_effect::Ignored },
};

// Guards against another program's announcement, under the identifier of a live server, that takes it from its callers.
BOOST_DATA_TEST_CASE(configured_service_takes_precedence_under_one_identifier, identifierRows, row)
{
    auto directory = configuredDirectory();
    directory.apply(row.first, at(0), at(0));
    BOOST_CHECK(directory.apply(row.second, at(500), at(500)) == row.effect);
}

struct incarnation_step {
    int atMs;
    backend_announcement announcement;
    announcement_effect effect;
};
struct incarnation_row {
    char const* name;
    /// Announcements of one server, in the order of arrival.
    std::vector<incarnation_step> steps;
    backend_state stateAfter;
    /// Start time of the incarnation that the entry describes at the end.
    int64_t startedAtMs;
};
std::ostream& operator<<(std::ostream& stream, incarnation_row const& row) { return stream << row.name; }

incarnation_row const incarnationRows[] = {
    { "late announcement of an incarnation whose clock was ahead",
        { { 0, announcementOf("i-1", 80, 200, 9, ready), announcement_effect::Added },
            { 4'100, announcementOf("i-1", 81, 100, 1, ready), announcement_effect::Changed },
            { 6'500, announcementOf("i-1", 81, 100, 3, ready), announcement_effect::Renewed },
            { 8'900, announcementOf("i-1", 81, 100, 5, ready), announcement_effect::Renewed },
            { 9'000, announcementOf("i-1", 80, 200, 10, ready), announcement_effect::Ignored } },
        ready, 100 },
    { "late announcement after the server has moved to another control host",
        { { 0, announcementOf("i-1", 81, 200, 1, ready), announcement_effect::Added },
            { 5'000, announcementOf("i-1", 80, 100, 9, draining), announcement_effect::Changed },
            { 5'300, announcementOf("i-1", 81, 200, 5, ready), announcement_effect::Changed } },
        ready, 200 },
    { "incarnation that was replaced in error returns",
        { { 0, announcementOf("i-1", 80, 100, 9, ready), announcement_effect::Added },
            { 500, announcementOf("i-1", 81, 200, 1, ready), announcement_effect::Changed },
            { 4'600, announcementOf("i-1", 80, 100, 12, ready), announcement_effect::Changed },
            { 8'200, announcementOf("i-1", 80, 100, 15, ready), announcement_effect::Renewed },
            { 9'400, announcementOf("i-1", 80, 100, 16, ready), announcement_effect::Renewed },
            { 9'500, announcementOf("i-1", 81, 200, 2, ready), announcement_effect::Ignored } },
        ready, 100 },
    { "late leave of an incarnation whose clock was ahead",
        { { 0, announcementOf("i-1", 80, 200, 9, ready), announcement_effect::Added },
            { 4'100, announcementOf("i-1", 81, 100, 1, ready), announcement_effect::Changed },
            { 8'900, announcementOf("i-1", 81, 100, 5, ready), announcement_effect::Renewed },
            { 9'000, announcementOf("i-1", 0, 200, 0, gone), announcement_effect::Ignored } },
        ready, 100 },
    { "leave of an unknown incarnation while the known one announces itself",
        { { 0, announcementOf("i-1", 80, 100, 9, ready), announcement_effect::Added },
            { 500, announcementOf("i-1", 0, 200, 0, gone), announcement_effect::Ignored } },
        ready, 100 },
    { "leave of a later incarnation that another control host has seen",
        { { 0, announcementOf("i-1", 80, 100, 9, ready), announcement_effect::Added },
            { 9'000, announcementOf("i-1", 0, 200, 0, gone), announcement_effect::Changed },
            { 9'100, announcementOf("i-1", 81, 200, 3, ready), announcement_effect::Ignored } },
        gone, 200 },
    { "leave of a later incarnation after that of an earlier one",
        { { 0, announcementOf("i-1", 80, 100, 9, ready), announcement_effect::Added },
            { 1'000, announcementOf("i-1", 0, 100, 0, gone), announcement_effect::Changed },
            { 9'000, announcementOf("i-1", 0, 200, 0, gone), announcement_effect::Changed } },
        gone, 200 },
    { "start after a leave, with a clock that was set back",
        { { 0, announcementOf("i-1", 80, 200, 9, ready), announcement_effect::Added },
            { 1'000, announcementOf("i-1", 0, 200, 0, gone), announcement_effect::Changed },
            { 4'200, announcementOf("i-1", 80, 100, 1, ready), announcement_effect::Changed } },
        ready, 100 },
    { "late announcement of an earlier incarnation after the leave of a later one",
        { { 0, announcementOf("i-1", 80, 100, 9, ready), announcement_effect::Added },
            { 500, announcementOf("i-1", 80, 200, 1, ready), announcement_effect::Changed },
            { 1'000, announcementOf("i-1", 0, 200, 0, gone), announcement_effect::Changed },
            { 9'000, announcementOf("i-1", 80, 100, 10, ready), announcement_effect::Ignored } },
        gone, 200 },
    { "announcement without a start time after a leave",
        { { 0, announcementOf("i-1", 80, 200, 9, ready), announcement_effect::Added },
            { 1'000, announcementOf("i-1", 0, 200, 0, gone), announcement_effect::Changed },
            { 9'000, announcementOf("i-1", 80, 0, 1, ready), announcement_effect::Ignored } },
        gone, 200 },
};

// Guards against a live server that counts as departed, or as one at another address, because of a late announcement
// or leave of another incarnation of its identifier.
BOOST_DATA_TEST_CASE(announcement_of_another_incarnation_ends_no_live_one, incarnationRows, row)
{
    auto directory = configuredDirectory();
    for (auto const& step : row.steps) {
        BOOST_TEST_CONTEXT("at " << step.atMs)
        BOOST_CHECK(directory.apply(step.announcement, at(step.atMs), at(step.atMs)) == step.effect);
    }
    BOOST_CHECK(directory.find("i-1")->state() == row.stateAfter);
    BOOST_TEST(directory.find("i-1")->announcement.startedAtMs == row.startedAtMs);
}

// Guards against a leave without a start time, resent after a gap, that ends the next incarnation of the identifier.
BOOST_AUTO_TEST_CASE(outlived_leave_without_a_start_time_is_ignored)
{
    auto directory = configuredDirectory();
    directory.apply(announcementOf("i-1", 80, 200, 1, ready), at(0), at(0));
    auto const leave = announcementOf("i-1", 0, 0, 0, gone);
    BOOST_CHECK(directory.apply(leave, at(-4'000), at(100)) == announcement_effect::Ignored);
    BOOST_CHECK(directory.apply(leave, at(-3'900), at(100)) == announcement_effect::Changed);
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

struct warm_up_row {
    char const* name;
    int firstRemainingMs;
    /// Time from the first announcement to the second.
    int gapMs;
    int secondRemainingMs;
    announcement_effect effect;
};
std::ostream& operator<<(std::ostream& stream, warm_up_row const& row) { return stream << row.name; }

warm_up_row const warmUpRows[] = {
    { "the same warm-up", 8'000, 1'000, 7'000, announcement_effect::Renewed },
    { "the same warm-up, announcement delayed", 8'000, 1'900, 7'000, announcement_effect::Renewed },
    { "the warm-up has ended", 8'000, 9'000, 0, announcement_effect::Renewed },
    { "a first warm-up without a restart", 0, 1'000, 8'000, announcement_effect::Changed },
    { "another warm-up after the end of the first", 8'000, 60'000, 7'500, announcement_effect::Changed },
    { "another warm-up before the end of the first", 8'000, 4'000, 8'000, announcement_effect::Changed },
};

// Servers of a zone that was evacuated may warm up again without a restart. Guards against a warm-up that only the
// control host learns of, because the announcement passes for a renewal.
BOOST_DATA_TEST_CASE(another_warm_up_is_a_change, warmUpRows, row)
{
    backend_directory directory;
    auto announcement = announcementOf("i-1", 80, 100, 1, ready);
    announcement.remainingWarmUp = std::chrono::milliseconds(row.firstRemainingMs);
    directory.apply(announcement, at(0), at(0));
    ++announcement.sequence;
    announcement.remainingWarmUp = std::chrono::milliseconds(row.secondRemainingMs);
    BOOST_CHECK(directory.apply(announcement, at(row.gapMs), at(row.gapMs)) == row.effect);
}

} // namespace
