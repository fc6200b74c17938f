#include <Base/error_kind.h>
#include <Membership/server_directory.h>
#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <random>

using namespace bilberryyard;

namespace {

monotonic_time at(int milliseconds) { return monotonic_time {} + std::chrono::milliseconds { milliseconds }; }

server_announcement announcementOf(uint32_t serverIndex, server_state state = server_state::Serving)
{
    server_announcement result;
    result.key = { service_id { serverIndex % 2 }, ip_address::fromIpv4(0x7f000001),
        static_cast<uint16_t>(9000 + serverIndex) };
    result.zone = zone_id { serverIndex % 3 };
    result.state = state;
    result.slots = 2;
    result.connectionLimit = 2000;
    result.incarnation = 1;
    return result;
}

server_directory directoryOf(uint32_t host, uint32_t incarnation = 1)
{
    return server_directory::create({ host_id { host }, incarnation }, {}).value();
}

struct refused_row {
    char const* name;
    void (*change)(server_announcement&);
};
std::ostream& operator<<(std::ostream& stream, refused_row const& row) { return stream << row.name; }

refused_row const refusedRows[] = {
    { "port", [](server_announcement& value) { value.key.port = 0; } },
    { "address", [](server_announcement& value) { value.key.address = {}; } },
    { "slots", [](server_announcement& value) { value.slots = 0; } },
    { "state", [](server_announcement& value) { value.state = static_cast<server_state>(7); } },
};

// Guards against a malformed registration that enters the directory or whose error does not name the field.
BOOST_DATA_TEST_CASE(bad_announcement_is_refused, refusedRows, row)
{
    auto directory = directoryOf(1);
    auto announcement = announcementOf(1);
    row.change(announcement);
    auto const result = directory.announce(announcement, at(0));
    BOOST_CHECK(errorKindOf(result.status()) == error_kind::InvalidArgument);
    BOOST_TEST(messageOf(result.status()).find(row.name) == 0u);
    BOOST_TEST(directory.entries().empty());
}

// Guards against accepting an announcement of a replaced process, and against a drain that is undone.
BOOST_AUTO_TEST_CASE(state_only_advances_within_an_incarnation)
{
    auto directory = directoryOf(1);
    auto const id = directory.announce(announcementOf(1, server_state::Draining), at(0)).value();
    BOOST_TEST(directory.announce(announcementOf(1, server_state::Serving), at(10)).ok());
    BOOST_CHECK(directory.find(id)->announcement.state == server_state::Draining);
    auto restarted = announcementOf(1);
    restarted.incarnation = 2;
    BOOST_CHECK(directory.announce(restarted, at(20)).value() == id);
    BOOST_CHECK(directory.find(id)->announcement.state == server_state::Serving);
    BOOST_CHECK(errorKindOf(directory.announce(announcementOf(1), at(30)).status()) == error_kind::Conflict);
}

// Guards against a lease that is renewed by a repeated, late or aged record.
BOOST_AUTO_TEST_CASE(only_a_newer_record_renews_the_lease)
{
    auto receiver = directoryOf(1);
    auto peer = directoryOf(2);
    auto const id = receiver.announce(announcementOf(1), at(0)).value();
    auto const records = receiver.recordsSince(0, record_scope::ReceivedHere, at(1000));
    BOOST_REQUIRE(records.size() == 1u);
    BOOST_TEST(peer.merge(records[0], at(501000)).ok());
    BOOST_TEST(peer.merge(records[0], at(502900)).ok());
    BOOST_TEST(peer.isLeased(*peer.find(id), at(503000)));
    BOOST_TEST(!peer.isLeased(*peer.find(id), at(503001)));
}

struct condition_row {
    char const* name;
    server_state state;
    int ageMs;
    bool zoneReachable;
    server_condition expected;
};
std::ostream& operator<<(std::ostream& stream, condition_row const& row) { return stream << row.name; }

condition_row const conditionRows[] = {
    { "starting", server_state::Starting, 0, true, server_condition::Closed },
    { "serving", server_state::Serving, 3000, true, server_condition::Accepting },
    { "draining", server_state::Draining, 0, true, server_condition::Closed },
    { "expired", server_state::Serving, 3001, true, server_condition::Closed },
    { "unresponsive", server_state::Serving, 6000, true, server_condition::Closed },
    { "dead", server_state::Serving, 6001, true, server_condition::Dead },
    { "partitioned zone", server_state::Serving, 6001, false, server_condition::Closed },
};

// Guards against resetting the flows of a server that is merely unreachable from this host.
BOOST_DATA_TEST_CASE(condition_follows_state_lease_and_zone_reachability, conditionRows, row)
{
    auto directory = directoryOf(1);
    auto const id = directory.announce(announcementOf(1, row.state), at(0)).value();
    std::set<zone_id> zones { zone_id { 0 } };
    if (row.zoneReachable)
        zones.insert(zone_id { 1 });
    BOOST_CHECK(directory.conditionOf(*directory.find(id), zones, at(row.ageMs)) == row.expected);
}

// Guards against two identifiers for one server after it announced itself to two hosts at once, and against an
// identifier in a flow entry that no longer resolves to the server.
BOOST_AUTO_TEST_CASE(server_with_two_identifiers_converges_to_the_lower_one)
{
    auto first = directoryOf(1);
    auto second = directoryOf(2);
    auto const lower = first.announce(announcementOf(1), at(0)).value();
    auto const higher = second.announce(announcementOf(1), at(0)).value();
    BOOST_CHECK(lower != higher);
    for (auto const& record : first.recordsSince(0, record_scope::All, at(1)))
        BOOST_TEST(second.merge(record, at(1)).ok());
    for (auto const& record : second.recordsSince(0, record_scope::All, at(1)))
        BOOST_TEST(first.merge(record, at(1)).ok());
    BOOST_CHECK(second.canonical(higher) == lower);
    BOOST_CHECK(first.canonical(lower) == lower);
}

// Guards against an identifier that two servers share, which would send packets of one to the other.
BOOST_AUTO_TEST_CASE(shared_identifier_is_reassigned)
{
    // Incarnations 1 and 257 have the same low 8 bits, so both assign the same identifiers.
    auto restartedInIsolation = directoryOf(1, 257);
    auto peer = directoryOf(2);
    auto before = directoryOf(1, 1);
    auto const sharedId = before.announce(announcementOf(2), at(0)).value();
    BOOST_CHECK(restartedInIsolation.announce(announcementOf(4), at(0)).value() == sharedId);
    for (auto* directory : { &before, &restartedInIsolation })
        for (auto const& record : directory->recordsSince(0, record_scope::All, at(1)))
            BOOST_TEST(peer.merge(record, at(1)).ok());
    BOOST_TEST(peer.identifierCollisions() == 1u);
    BOOST_TEST(peer.find(sharedId)->announcement.key.port == 9002);
    BOOST_CHECK(peer.announce(announcementOf(4), at(2)).value() != sharedId);
}

// Guards against directories that differ after the same records arrived late, repeatedly or out of order.
BOOST_DATA_TEST_CASE(directories_converge, boost::unit_test::data::xrange(1u, 41u), seed)
{
    std::mt19937 random(seed);
    std::vector<server_directory> directories { directoryOf(1), directoryOf(2), directoryOf(3) };
    std::vector<std::vector<server_record>> inboxes(3);
    for (int step = 0; step < 400; ++step) {
        auto const now = at(step * 50);
        auto const host = random() % 3;
        auto announcement = announcementOf(random() % 12);
        announcement.incarnation = 1 + static_cast<uint64_t>(step) / 150;
        announcement.load.openConnections = random() % 2000;
        announcement.state = random() % 40 == 0 ? server_state::Draining : server_state::Serving;
        (void)directories[host].announce(announcement, now);
        for (auto const& record : directories[host].recordsSince(0, record_scope::All, now))
            inboxes[(host + 1 + random() % 2) % 3].push_back(record);
        for (size_t reader = 0; reader < 3; ++reader) {
            std::shuffle(inboxes[reader].begin(), inboxes[reader].end(), random);
            for (size_t count = random() % 8; count > 0 && !inboxes[reader].empty(); --count) {
                BOOST_REQUIRE(directories[reader].merge(inboxes[reader].back(), now).ok());
                if (random() % 4)
                    inboxes[reader].pop_back();
            }
        }
    }
    auto const end = at(400 * 50);
    for (int round = 0; round < 3; ++round)
        for (auto& source : directories)
            for (auto& target : directories)
                for (auto const& record : source.recordsSince(0, record_scope::All, end))
                    BOOST_REQUIRE(target.merge(record, end).ok());
    auto const reference = directories[0].entries();
    for (auto const& directory : directories) {
        auto const entries = directory.entries();
        BOOST_REQUIRE(entries.size() == reference.size());
        for (size_t index = 0; index < entries.size(); ++index) {
            BOOST_CHECK(entries[index].id == reference[index].id);
            BOOST_CHECK(entries[index].announcement == reference[index].announcement);
            BOOST_CHECK(entries[index].stamp == reference[index].stamp);
        }
    }
}

// Guards against servers that are never removed.
BOOST_AUTO_TEST_CASE(expired_server_is_removed_after_the_retention)
{
    auto directory = directoryOf(1);
    auto const id = directory.announce(announcementOf(1), at(0)).value();
    directory.expire(at(3'600'000));
    BOOST_TEST(directory.find(id) != nullptr);
    directory.expire(at(3'600'001));
    BOOST_TEST(directory.find(id) == nullptr);
}

} // namespace
