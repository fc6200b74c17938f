// What balancers conclude from the packets of uploads, whose callers send many packets before the first response.
#include "placement_fixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>

using namespace bilberryyard;

namespace {

constexpr uint32_t packetBytes = 1'200;
constexpr uint32_t firstSequence = 1'001;
constexpr uint32_t responseAcknowledgement = 5'301;

class upload_fixture : public placement_fixture {
public:
    using placement_fixture::placement_fixture;

    /// Sends one packet of an upload.
    /// @param index 0 for the first packet of the request.
    packet_decision sendPart(uint16_t caller, uint32_t token, uint32_t index)
    {
        auto packet = packetOf(caller, uploadPort);
        packet.token = token;
        packet.sequence = firstSequence + index * packetBytes;
        packet.acknowledgement = 5'001;
        packet.payloadBytes = packetBytes;
        return router.decide(packet, now);
    }

    /// Sends new packets of an upload.
    /// @param intervalMs Between two packets.
    void sendParts(uint16_t caller, uint32_t token, uint32_t first, uint32_t end, int intervalMs)
    {
        for (auto index = first; index < end; ++index) {
            sendPart(caller, token, index);
            advance(intervalMs);
        }
    }

    /// Acknowledges the response to an upload of some packets.
    void acknowledge(uint16_t caller, uint32_t token, uint32_t parts)
    {
        auto packet = packetOf(caller, uploadPort);
        packet.token = token;
        packet.sequence = firstSequence + parts * packetBytes;
        packet.acknowledgement = responseAcknowledgement;
        router.decide(packet, now);
    }

    backend_load& loadOf(uint32_t token) { return router.pool().find(token)->load; }
};

struct transfer_row {
    char const* name;
    uint32_t parts;
    int intervalMs;
};
std::ostream& operator<<(std::ostream& stream, transfer_row const& row) { return stream << row.name; }

transfer_row const transferRows[] = {
    { "one packet", 1, 0 },
    { "20 kB on a fast path", 17, 1 },
    { "20 kB from a slow caller", 17, 60 },
    { "120 kB from a slow caller", 100, 30 },
};

// Slow callers: the time that a caller takes to send its request is not the server's. Guards against uploads that make
// a server look slow and its service overloaded.
BOOST_DATA_TEST_CASE(response_time_begins_with_the_end_of_the_request, transferRows, row)
{
    upload_fixture fixture;
    fixture.announce(1);
    auto const token = fixture.openEstablished(20'000, placement_fixture::uploadPort);
    fixture.sendParts(20'000, token, 0, row.parts - 1, row.intervalMs);
    fixture.sendPart(20'000, token, row.parts - 1);
    fixture.advance(20);
    fixture.acknowledge(20'000, token, row.parts);
    auto const samples = fixture.router.pool().drainResponseTimes();
    BOOST_REQUIRE(samples.size() == 1);
    BOOST_TEST(samples.front() == 0.02, boost::test_tools::tolerance(0.001));
    BOOST_CHECK(fixture.router.pool().overload().lowerQuartileResponseTime("orders") <= std::chrono::milliseconds(20));
}

// Long upload: data beyond the caller's window is sent only when the server has acknowledged earlier data. Guards
// against a server that looks silent while it receives an upload.
BOOST_AUTO_TEST_CASE(data_beyond_the_window_shows_that_the_server_responds)
{
    upload_fixture fixture;
    fixture.announce(1);
    auto const token = fixture.openEstablished(20'000, placement_fixture::uploadPort);
    auto const other = fixture.openEstablished(20'001, placement_fixture::uploadPort);
    fixture.advance(100);
    fixture.sendPart(20'001, other, 0);
    fixture.sendParts(20'000, token, 0, 16, 1);
    BOOST_TEST(fixture.loadOf(token).lastResponseAt.time_since_epoch().count()
        < (fixture.now - std::chrono::milliseconds(50)).time_since_epoch().count());
    fixture.advance(200);
    fixture.sendPart(20'001, other, 0);
    BOOST_TEST(fixture.loadOf(token).retransmissionsSinceResponse == 1);
    fixture.sendPart(20'000, token, 16);
    BOOST_CHECK(fixture.loadOf(token).lastResponseAt == fixture.now);
    BOOST_TEST(fixture.loadOf(token).retransmissionsSinceResponse == 0);
}

struct repeat_row {
    char const* name;
    /// Packets that the caller repeats 200 ms after its last one.
    uint32_t firstRepeated;
    uint32_t endRepeated;
    int rounds;
    uint32_t retransmissions;
};
std::ostream& operator<<(std::ostream& stream, repeat_row const& row) { return stream << row.name; }

repeat_row const repeatRows[] = {
    { "one packet, once", 4, 5, 1, 1 },
    { "the whole window, once", 4, 20, 1, 1 },
    { "the whole window, twice", 4, 20, 2, 2 },
};

// Lost packets in the middle of an upload: a caller repeats up to a window of packets at once. Guards against the
// ejection of a server because of a single loss.
BOOST_DATA_TEST_CASE(repeated_window_counts_once, repeatRows, row)
{
    upload_fixture fixture;
    fixture.announce(1);
    fixture.announce(2);
    auto const token = fixture.openEstablished(20'000, placement_fixture::uploadPort);
    fixture.sendParts(20'000, token, 0, 20, 1);
    for (int round = 0; round < row.rounds; ++round) {
        fixture.advance(200);
        for (auto index = row.firstRepeated; index < row.endRepeated; ++index)
            fixture.sendPart(20'000, token, index);
    }
    BOOST_TEST(fixture.loadOf(token).retransmissionsSinceResponse == row.retransmissions);
    BOOST_TEST((fixture.loadOf(token).ejections > 0) == (row.retransmissions >= 2));
}

// Server that crashes in the middle of an upload: its responses to the first packets must not hide that it responds no
// longer.
BOOST_AUTO_TEST_CASE(silence_in_the_middle_of_an_upload_is_noticed)
{
    upload_fixture fixture;
    fixture.announce(1);
    auto const token = fixture.openEstablished(20'000, placement_fixture::uploadPort);
    fixture.sendPart(20'000, token, 0);
    fixture.advance(1);
    fixture.openEstablished(20'001, placement_fixture::uploadPort);
    fixture.announce(2);
    fixture.sendParts(20'000, token, 1, 30, 1);
    for (int repeat = 0; repeat < 2; ++repeat) {
        fixture.advance(200 << repeat);
        fixture.sendPart(20'000, token, 14);
    }
    BOOST_TEST(fixture.loadOf(token).ejections == 1);
}

// Upload that takes longer than a request may be without a packet: it stays tracked, and keeps its server.
BOOST_AUTO_TEST_CASE(long_upload_stays_busy)
{
    upload_fixture fixture;
    fixture.announce(1);
    auto const token = fixture.openEstablished(20'000, placement_fixture::uploadPort);
    for (uint32_t index = 0; index < 100; ++index) {
        fixture.sendPart(20'000, token, index);
        fixture.advance(150);
        fixture.router.sweep(fixture.now);
    }
    BOOST_TEST(fixture.loadOf(token).busy == 1);
    fixture.acknowledge(20'000, token, 100);
    BOOST_TEST(fixture.loadOf(token).busy == 0);
    BOOST_TEST(fixture.loadOf(token).open == 1);
}

struct zone_row {
    char const* name;
    uint16_t port;
    std::string service;
    /// Requests at the only server of the own zone.
    uint16_t busy;
};
std::ostream& operator<<(std::ostream& stream, zone_row const& row) { return stream << row.name; }

zone_row const zoneRows[] = {
    { "download", placement_fixture::downloadPort, "gallery", 2 },
    { "upload", placement_fixture::uploadPort, "orders", 2 },
};

// Large requests between zones: an upload's bytes cross the boundary as a download's do, so it leaves the zone at no
// lower load.
BOOST_DATA_TEST_CASE(large_transfers_stay_in_the_zone_longer, zoneRows, row)
{
    upload_fixture fixture;
    fixture.announce(1, "a", backend_state::Ready, row.service);
    fixture.announce(2, "b", backend_state::Ready, row.service);
    for (uint16_t number = 0; number < row.busy; ++number)
        fixture.openEstablished(static_cast<uint16_t>(20'000 + number), row.port);
    fixture.request(20'000, placement_fixture::tokenOf(1), 5'001, row.port);
    fixture.request(20'001, placement_fixture::tokenOf(1), 5'001, row.port);
    BOOST_TEST(placement_fixture::targetOf(fixture.open(30'000, 0, row.port)).value() == placement_fixture::tokenOf(1));
}

struct link_row {
    char const* name;
    uint64_t linkBytesPerSecond;
    uint16_t port;
    std::optional<reset_reason> reset;
};
std::ostream& operator<<(std::ostream& stream, link_row const& row) { return stream << row.name; }

link_row const linkRows[] = {
    { "uploads on a small link", 662'500, placement_fixture::uploadPort, reset_reason::LinkFull },
    { "uploads on a link of unknown rate", 0, placement_fixture::uploadPort, std::nullopt },
    { "uploads on a large link", 125'000'000, placement_fixture::uploadPort, std::nullopt },
    { "small requests on a small link", 662'500, placement_fixture::nonIdempotentPort, std::nullopt },
    { "downloads on a small link", 662'500, placement_fixture::downloadPort, std::nullopt },
};

// Upload burst: what the link cannot carry is refused at the handshake, and an open flow is never reset. Guards against
// uploads that are admitted and then hold up all other flows.
BOOST_DATA_TEST_CASE(uploads_beyond_the_link_are_refused_at_the_handshake, linkRows, row)
{
    placement_settings settings;
    settings.linkBytesPerSecond = row.linkBytesPerSecond;
    upload_fixture fixture(settings);
    fixture.announce(1);
    fixture.announce(2, "a", backend_state::Ready, "gallery");
    std::map<uint16_t, uint32_t> admitted;
    std::optional<reset_reason> reset;
    for (uint16_t caller = 20'000; caller < 20'040; ++caller) {
        auto const decision = fixture.open(caller, 0, row.port);
        if (auto const token = placement_fixture::targetOf(decision))
            admitted[caller] = *token;
        else
            reset = placement_fixture::resetOf(decision);
    }
    BOOST_CHECK(reset == row.reset);
    for (auto const& [caller, token] : admitted)
        BOOST_CHECK(placement_fixture::targetOf(fixture.request(caller, token, 5'001, row.port)) == token);
    // A repeated handshake of an admitted flow keeps its server.
    BOOST_CHECK(placement_fixture::targetOf(fixture.open(20'000, 1, row.port)).has_value());
}

} // namespace
