// Room on a balancer's link under different load patterns; the comment of each test names its pattern.
#include <Placement/link_budget.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace bilberryyard;

namespace {

constexpr uint32_t packetBytes = 1'200;
constexpr uint32_t acknowledgement = 5'001;

/// A balancer's link with callers that upload.
class link_load {
public:
    explicit link_load(uint64_t bytesPerSecond)
        : budget({ .bytesPerSecond = bytesPerSecond })
    {
    }

    static flow_endpoints flow(uint32_t caller, uint16_t port)
    {
        return { { ip_address::fromIpv4(0x64400000 + caller), port }, { ip_address::fromIpv4(0xc6120001), 443 } };
    }

    /// @return Whether the flow was admitted.
    bool open(uint32_t caller, uint16_t port)
    {
        if (!budget.admits(flow(caller, port), now))
            return false;
        budget.recordHandshake(flow(caller, port), now);
        return true;
    }

    void sendPart(uint32_t caller, uint16_t port, uint32_t index)
    {
        caller_packet packet;
        packet.flowEndpoints = flow(caller, port);
        packet.sequence = 1'001 + index * packetBytes;
        packet.acknowledgement = acknowledgement;
        packet.payloadBytes = packetBytes;
        budget.recordPacket(packet, now);
    }

    void acknowledgeResponse(uint32_t caller, uint16_t port)
    {
        caller_packet packet;
        packet.flowEndpoints = flow(caller, port);
        packet.acknowledgement = acknowledgement + 300;
        budget.recordPacket(packet, now);
    }

    /// Opens a flow, sends a request and acknowledges its response.
    void complete(uint32_t caller, uint16_t port, uint32_t parts)
    {
        open(caller, port);
        for (uint32_t index = 0; index < parts; ++index)
            sendPart(caller, port, index);
        acknowledgeResponse(caller, port);
    }

    /// @param count Callers that open one flow each.
    /// @return How many flows were admitted.
    int openMany(uint32_t firstCaller, int count)
    {
        int admitted = 0;
        for (uint32_t caller = firstCaller; caller < firstCaller + static_cast<uint32_t>(count); ++caller)
            admitted += open(caller, 40'000) ? 1 : 0;
        return admitted;
    }

    void advance(int milliseconds) { now += std::chrono::milliseconds(milliseconds); }

    monotonic_time now = monotonic_time {} + std::chrono::seconds(1'000);
    link_budget budget;
};

struct rate_row {
    char const* name;
    uint64_t bytesPerSecond;
    /// Packets of a usual request; 0 if no request has been seen.
    uint32_t usualParts;
    int admitted;
};
std::ostream& operator<<(std::ostream& stream, rate_row const& row) { return stream << row.name; }

rate_row const rateRows[] = {
    { "unknown rate: no limit", 0, 17, 100 },
    { "5.3 Mbit/s, unknown sizes", 662'500, 0, 6 },
    { "5.3 Mbit/s, requests larger than a window", 662'500, 100, 6 },
    { "5.3 Mbit/s, small requests", 662'500, 4, 27 },
    { "link smaller than a window: one after the other", 50'000, 17, 1 },
    { "1 Gbit/s", 125'000'000, 17, 100 },
};

// Upload burst: 100 callers start at once. Guards against windows that need longer on the link than callers wait
// before they send a packet again.
BOOST_DATA_TEST_CASE(windows_of_a_burst_fit_the_link, rateRows, row)
{
    link_load load(row.bytesPerSecond);
    if (row.usualParts > 0)
        load.complete(9'000, 39'999, row.usualParts);
    BOOST_TEST(load.openMany(1, 100) == row.admitted);
}

// Upload burst: requests that are larger than usual keep their window, and responses make room for others.
BOOST_AUTO_TEST_CASE(responses_make_room)
{
    link_load load(662'500);
    load.complete(9'000, 39'999, 8);
    auto const first = load.openMany(1, 100);
    BOOST_TEST(load.openMany(200, 100) == 0);
    auto const reserved = load.budget.bytesOnTheWay();
    for (uint32_t index = 0; index < 30; ++index)
        load.sendPart(1, 40'000, index);
    BOOST_TEST(load.budget.bytesOnTheWay() > reserved + 10'000);
    for (uint32_t caller = 1; caller <= static_cast<uint32_t>(first); ++caller) {
        load.sendPart(caller, 40'000, 0);
        load.acknowledgeResponse(caller, 40'000);
    }
    BOOST_TEST(load.budget.flows() == 0U);
    BOOST_TEST(load.openMany(300, 100) > 0);
}

// One caller that floods: it opens flows as fast as it can, and other callers still find room.
BOOST_AUTO_TEST_CASE(one_caller_leaves_room_for_others)
{
    link_load load(662'500);
    int flooding = 0;
    for (uint16_t port = 40'000; port < 40'100; ++port)
        flooding += load.open(1, port) ? 1 : 0;
    BOOST_TEST(flooding >= 3);
    BOOST_TEST(flooding <= 4);
    BOOST_TEST(load.openMany(2, 10) >= 2);
}

// Lost callers: flows whose callers have vanished do not hold their room.
BOOST_AUTO_TEST_CASE(silent_flows_release_their_room)
{
    link_load load(662'500);
    auto const admitted = load.openMany(1, 100);
    load.advance(1'500);
    BOOST_TEST(load.openMany(200, 100) == 0);
    load.advance(1'000);
    BOOST_TEST(load.openMany(300, 100) == admitted);
}

// Repeated handshakes and repeated packets reserve nothing again.
BOOST_AUTO_TEST_CASE(repetitions_reserve_nothing)
{
    link_load load(662'500);
    load.open(1, 40'000);
    auto const reserved = load.budget.bytesOnTheWay();
    load.open(1, 40'000);
    BOOST_TEST(load.budget.bytesOnTheWay() == reserved);
    load.sendPart(1, 40'000, 0);
    load.sendPart(1, 40'000, 1);
    auto const afterTwo = load.budget.bytesOnTheWay();
    load.sendPart(1, 40'000, 0);
    BOOST_TEST(load.budget.bytesOnTheWay() == afterTwo);
    load.acknowledgeResponse(1, 40'000);
    BOOST_TEST(load.budget.bytesOnTheWay() == 0U);
}

// Moved flows: after a change of the path to the balancers, uploads arrive whose handshakes another balancer admitted.
BOOST_AUTO_TEST_CASE(uploads_from_other_balancers_take_room)
{
    link_load load(662'500);
    for (uint32_t caller = 1; caller <= 20; ++caller)
        load.sendPart(caller, 40'000, 3);
    auto const reserved = load.budget.bytesOnTheWay();
    BOOST_TEST(load.openMany(100, 10) == 0);
    // What is left of them says nothing about the size of a request.
    load.acknowledgeResponse(1, 40'000);
    BOOST_TEST(load.budget.bytesOnTheWay() == reserved * 19 / 20);
    load.sendPart(1, 40'001, 0);
    BOOST_TEST(load.budget.bytesOnTheWay() == reserved);
}

// Mixed load: what the packets of other flows use is not available to uploads.
BOOST_AUTO_TEST_CASE(other_packets_reduce_the_room)
{
    link_load load(662'500);
    auto const unloaded = load.budget.room();
    for (int step = 0; step < 1'000; ++step) {
        load.advance(10);
        load.budget.recordTraffic(3'312, duration::zero(), load.now);
    }
    BOOST_TEST(load.budget.room() < unloaded * 6 / 10);
    BOOST_TEST(load.budget.room() > unloaded * 4 / 10);
}

struct target_row {
    char const* name;
    int targetMs;
    int ageMs;
    int expectedWaitMs;
};
std::ostream& operator<<(std::ostream& stream, target_row const& row) { return stream << row.name; }

target_row const targetRows[] = {
    { "no target", 0, 0, 200 },
    { "target of 300 ms", 300, 0, 100 },
    { "target that allows more than a retransmission", 3'000, 0, 200 },
    { "target of a route that is no longer used", 300, 11'000, 200 },
};

// Mixed load: small requests of a route with a short target latency share the link with uploads.
BOOST_DATA_TEST_CASE(uploads_leave_other_routes_their_target_latency, targetRows, row)
{
    link_load load(662'500);
    load.budget.recordTraffic(44, std::chrono::milliseconds(row.targetMs), load.now);
    load.budget.recordTraffic(44, std::chrono::milliseconds(5'000), load.now);
    load.advance(row.ageMs);
    load.budget.recordTraffic(44, std::chrono::milliseconds(5'000), load.now);
    load.budget.sweep(load.now);
    BOOST_CHECK(load.budget.maximumWait() == std::chrono::milliseconds(row.expectedWaitMs));
}

} // namespace
