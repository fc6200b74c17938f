#include "directory_fixture.h"

#include <Fleet/directory_fetch.h>
#include <Fleet/fleet_codec.h>
#include <Transport/datagram_fragments.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <random>
#include <set>

using namespace bilberryyard;

namespace {

struct page_fixture : directory_fixture {
    static void fill(directory_feed& feed, int count)
    {
        for (int number = 0; number < count; ++number)
            feed.announce(announcementOf(number, 1), at(0));
        feed.drainChanges(at(0));
    }
    static directory_fetch newFetch()
    {
        return directory_fetch({ server_scope::All, "zone-2", 0, 0, {}, known_records::Included });
    }
};

int const serverCounts[] = { 0, 1, 3'000, 30'000 };

// Load pattern: a balancer starts in a large deployment. Guards against servers that are missing or sent twice, and
// against a page that does not fit into one datagram, which would be lost as a whole with one of its fragments.
BOOST_DATA_TEST_CASE_F(page_fixture, pages_contain_every_server_once, serverCounts, count)
{
    directory_feed feed({}, 5);
    fill(feed, count);
    auto pages = pagesOf(feed, controlHost(1), at(0));
    auto fetch = newFetch();
    std::set<std::string> ids;
    size_t bytes = 0;
    bool sawOtherZone = false;
    while (!fetch.isComplete()) {
        auto const& request = fetch.nextRequest(at(0));
        auto const& encoded = pages.encodedPageAt(request.cursor, request.zone);
        BOOST_REQUIRE(splitIntoDatagrams(encoded, 1).size() == 1u);
        bytes += encoded.size();
        auto const page = std::get<directory_page>(*decodeFleetMessage(encoded));
        for (auto const& record : page.records) {
            BOOST_REQUIRE(ids.insert(record.server.announcement.id).second);
            bool const isOwnZone = record.server.announcement.zone == "zone-2";
            BOOST_REQUIRE(!(isOwnZone && sawOtherZone));
            sawOtherZone = sawOtherZone || !isOwnZone;
        }
        BOOST_REQUIRE(fetch.accept(page));
    }
    BOOST_TEST(ids.size() == static_cast<size_t>(count));
    BOOST_TEST(bytes <= static_cast<size_t>(count) * 64 + 200);
}

struct channel_row {
    char const* name;
    int servers;
    /// Percentages of pages that are lost, and that arrive twice or late.
    int lost;
    int repeated;
    /// Number of control hosts that respond by turns.
    int sources;
    unsigned seed;
};
std::ostream& operator<<(std::ostream& stream, channel_row const& row) { return stream << row.name; }

channel_row const channelRows[] = {
    { "3,000 servers, nothing lost", 3'000, 0, 0, 1, 1 },
    { "3,000 servers, a third lost", 3'000, 33, 0, 1, 2 },
    { "3,000 servers, repeated and reordered", 3'000, 0, 50, 1, 3 },
    { "3,000 servers, all faults, three sources", 3'000, 33, 50, 3, 4 },
    { "30,000 servers, all faults, three sources", 30'000, 10, 20, 3, 5 },
};

// Load pattern: many balancers fetch the directory over links that lose datagrams. Guards against a transfer that
// starts again after each loss and never ends.
BOOST_DATA_TEST_CASE_F(page_fixture, lost_pages_are_requested_again_without_the_others, channelRows, row)
{
    std::vector<std::unique_ptr<directory_feed>> feeds;
    std::vector<directory_pages> sources;
    for (int source = 0; source < row.sources; ++source) {
        feeds.push_back(std::make_unique<directory_feed>(backend_directory_settings(), 5 + source));
        fill(*feeds.back(), row.servers);
        sources.push_back(pagesOf(*feeds.back(), controlHost(source), at(0)));
    }
    std::mt19937 random(row.seed);
    auto const happens = [&](int percentage) { return static_cast<int>(random() % 100) < percentage; };
    auto fetch = newFetch();
    directory_view view;
    std::vector<directory_page> delayed;
    int requests = 0;
    int pages = 0;
    for (monotonic_time now = at(0); !fetch.isComplete(); now += directory_fetch::pageTimeout) {
        BOOST_REQUIRE(++requests < 2'000);
        BOOST_REQUIRE(fetch.isDue(now));
        auto const request = fetch.nextRequest(now);
        auto const source = static_cast<size_t>(requests) % sources.size();
        auto const page = sources[source].pageAt(request.cursor, request.zone);
        if (happens(row.lost))
            continue;
        ++pages;
        if (happens(row.repeated))
            delayed.push_back(page);
        if (!delayed.empty() && happens(row.repeated)) {
            view.apply(controlHost(0), delayed.front(), now);
            fetch.accept(delayed.front());
            delayed.erase(delayed.begin());
        }
        view.apply(controlHost(static_cast<int>(source)), page, now);
        fetch.accept(page);
    }
    BOOST_TEST(view.directory().entries().size() == static_cast<size_t>(row.servers));
    // Apart from lost pages, each page is sent about once.
    BOOST_TEST(pages <= row.servers / 90 + 4);
}

// Guards against a position that includes changes which one of several sources had not received.
BOOST_FIXTURE_TEST_CASE(positions_of_several_sources_are_the_earliest, page_fixture)
{
    auto fetch = newFetch();
    directory_page page;
    page.scope = server_scope::All;
    page.positions = { { controlHost(1), 5, 90 }, { controlHost(2), 8, 40 }, { controlHost(3), 1, 7 } };
    page.next = { page_cursor::pass::OtherZones, "i-5" };
    BOOST_REQUIRE(fetch.accept(page));
    page.cursor = page.next;
    page.positions = { { controlHost(2), 8, 60 }, { controlHost(1), 5, 70 }, { controlHost(3), 2, 9 } };
    page.isLast = true;
    BOOST_REQUIRE(fetch.accept(page));
    BOOST_TEST(fetch.isComplete());
    std::vector<feed_position> const expected = { { controlHost(1), 5, 70 }, { controlHost(2), 8, 40 } };
    BOOST_CHECK(fetch.positions() == expected);
}

} // namespace
