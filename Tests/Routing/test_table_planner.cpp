#include "planner_harness.h"

#include <Base/error_kind.h>
#include <Routing/delta_builder.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace bilberryyard;

namespace {

planner_harness makeAssignedHarness(uint32_t servers, planner_settings const& settings = {})
{
    planner_harness harness(5, 4096, service_traffic::Stream, settings);
    for (uint32_t id = 1; id <= servers; ++id)
        harness.server(id);
    harness.run(3000);
    return harness;
}

// Guards against a first assignment that is uneven or leaves buckets tracked although no flow exists.
BOOST_DATA_TEST_CASE(first_assignment_is_even_and_stable, boost::unit_test::data::make({ 1u, 4u, 14u, 60u }), servers)
{
    auto const harness = makeAssignedHarness(servers);
    BOOST_TEST(harness.counts().size() == servers);
    BOOST_TEST(harness.imbalance() <= 1.02);
    BOOST_TEST(harness.trackedBuckets() == 0u);
}

// Guards against a first assignment without the full view that sets a base, although the remote side of a partition may
// assign the bucket to another server.
BOOST_AUTO_TEST_CASE(first_assignment_without_full_view_has_no_base)
{
    planner_harness harness;
    harness.removeHost(5);
    harness.server(1);
    harness.run(3000);
    auto const table = harness.table();
    BOOST_CHECK(table.at(0).current == server_id { 1 });
    BOOST_CHECK(table.at(0).base == noServer);
    BOOST_CHECK(table.at(0).phase == bucket_phase::Tracked);
}

// Guards against a join that moves more than the new server's share, and against an imbalance that lasts longer than
// the target of 10 s.
BOOST_AUTO_TEST_CASE(join_moves_at_most_one_share)
{
    auto harness = makeAssignedHarness(14);
    harness.server(15);
    harness.run(1000);
    // The first step of the cold start gives the new server a quarter of its weight; 14 servers have their full weight.
    BOOST_TEST(harness.counts()[15] <= 4096 * 0.25 / 14.25 + 1);
    harness.run(9000);
    BOOST_TEST(harness.imbalance() <= 1.02);
    uint32_t moves = 0;
    for (auto const& [id, count] : harness.movedBuckets)
        moves += count;
    BOOST_TEST(harness.movedBuckets.size() == 1u);
    BOOST_TEST(moves <= 4096 / 15 + 1);
}

struct departure_row {
    char const* name;
    void (*change)(planner_harness&);
};
std::ostream& operator<<(std::ostream& stream, departure_row const& row) { return stream << row.name; }

departure_row const departureRows[] = {
    { "dead", [](planner_harness& harness) { harness.server(3).condition = server_condition::Dead; } },
    { "closed", [](planner_harness& harness) { harness.server(3).condition = server_condition::Closed; } },
    { "unlisted",
        [](planner_harness& harness) {
            harness.input.servers[planner_harness::service].erase(
                harness.input.servers[planner_harness::service].begin() + 2);
        } },
    { "full", [](planner_harness& harness) { harness.server(3).openConnections = 2000; } },
};

// Guards against a server that still receives new flows 3 s after it left, and against moves of the buckets of other
// servers.
BOOST_DATA_TEST_CASE(departed_server_has_no_buckets_within_three_seconds, departureRows, row)
{
    auto harness = makeAssignedHarness(14);
    auto const before = harness.table();
    row.change(harness);
    harness.run(3000);
    BOOST_TEST(harness.counts()[3] == 0u);
    auto const after = harness.table();
    for (uint32_t index = 0; index < after.bucketCount(); ++index) {
        if (before.at(index).current != server_id { 3 })
            BOOST_REQUIRE(after.at(index) == before.at(index));
        else
            BOOST_REQUIRE(after.at(index).base == server_id { 3 });
    }
}

// Guards against a second phase that starts before every host has acknowledged the first one, and against a planner
// that waits for a host whose lease has expired.
BOOST_AUTO_TEST_CASE(phase_two_waits_for_acknowledgement_or_expiry)
{
    auto harness = makeAssignedHarness(14);
    harness.blockedHosts.insert(4);
    harness.server(3).condition = server_condition::Dead;
    harness.run(2000);
    BOOST_TEST(harness.counts()[3] > 0u);
    harness.removeHost(4);
    harness.run(1500);
    BOOST_TEST(harness.counts()[3] == 0u);
}

// Guards against a failover that skips or repeats a phase: the planner fails at each step of 50 ms of a rollout.
BOOST_DATA_TEST_CASE(failover_in_any_phase_completes_the_rollout, boost::unit_test::data::xrange(0, 800, 50), moment)
{
    auto harness = makeAssignedHarness(14);
    harness.delaySteps = 3;
    harness.server(3).condition = server_condition::Dead;
    harness.run(moment);
    harness.removeHost(1);
    harness.switchPlanner(2);
    harness.run(4000);
    BOOST_TEST(harness.counts()[3] == 0u);
    BOOST_TEST(harness.imbalance() <= 1.02);
    for (auto const& host : harness.input.hosts) {
        if (host.peer != harness.input.self)
            BOOST_TEST(harness.replicas.at(host.peer.host.value).table().digest() == harness.table().digest());
    }
}

struct weight_row {
    double weight;
    uint32_t connections;
    double expectedShare;
};
std::ostream& operator<<(std::ostream& stream, weight_row const& row)
{
    return stream << "weight " << row.weight << " connections " << row.connections;
}

weight_row const weightRows[] = { { 0.5, 0, 0.5 }, { 2.0, 0, 2.0 }, { 1.0, 1799, 1.0 }, { 1.0, 1800, 0.8 },
    { 1.0, 1990, 0.2 }, { 1.0, 2000, 0.0 }, { std::nan(""), 0, 1.0 } };

// Guards against weights and connection limits that do not affect the numbers of buckets.
BOOST_DATA_TEST_CASE(share_follows_weight_and_connection_limit, weightRows, row)
{
    auto harness = makeAssignedHarness(4);
    harness.server(2).weight = row.weight;
    harness.server(2).openConnections = row.connections;
    harness.run(20000);
    BOOST_TEST(std::abs(harness.counts()[2] - 4096 * row.expectedShare / (3 + row.expectedShare)) <= 1.0);
}

// Guards against a weight change that moves all buckets concerned at once.
BOOST_AUTO_TEST_CASE(moves_between_accepting_servers_are_rate_limited)
{
    auto harness = makeAssignedHarness(4);
    harness.server(2).weight = 0.1;
    harness.run(1100);
    uint32_t moves = 0;
    for (auto const& [id, count] : harness.movedBuckets)
        moves += count;
    BOOST_TEST(moves > 0u);
    BOOST_TEST(moves <= 2 * 410u);
}

// Guards against buckets that never become stable again, and against a base that changes without the full view or
// before every complete witness has reported that the bucket can settle.
BOOST_AUTO_TEST_CASE(buckets_settle_in_two_steps_with_the_full_view_only)
{
    planner_settings settings;
    settings.flowIdleTimeout = std::chrono::seconds { 20 };
    auto harness = makeAssignedHarness(4, settings);
    harness.server(3).condition = server_condition::Closed;
    harness.run(4000);
    auto const tracked = harness.trackedBuckets();
    BOOST_TEST(tracked == 1024u);
    auto const full = harness.input.hosts;
    auto const absent = harness.replicas.at(5).replicated();
    harness.removeHost(5);
    harness.run(1000);
    harness.reportAllSettled();
    harness.run(20000);
    BOOST_TEST(harness.trackedBuckets() == tracked);
    harness.addHost(5, 2);
    harness.run(1000);
    auto const before = harness.table();
    for (uint32_t index = 0; index < before.bucketCount(); ++index)
        harness.planner->filled({ planner_harness::service, { host_id { 5 }, 2 }, { index } });
    harness.run(15000);
    harness.reportAllSettled();
    harness.run(15000);
    BOOST_TEST(harness.trackedBuckets() == tracked);
    BOOST_TEST(harness.table().at(0).base.value == harness.table().at(0).current.value);
    harness.reportAllSettled();
    harness.run(15000);
    BOOST_TEST(harness.trackedBuckets() == 0u);
}

// Guards against a datagram bucket that becomes stable or gets a base, as new flows cannot be recognised without a SYN.
BOOST_AUTO_TEST_CASE(datagram_buckets_stay_tracked_without_base)
{
    planner_harness harness(5, 4096, service_traffic::Datagram);
    for (uint32_t id = 1; id <= 4; ++id)
        harness.server(id);
    harness.run(15000);
    harness.server(2).condition = server_condition::Closed;
    harness.run(15000);
    harness.reportAllSettled();
    harness.run(5000);
    BOOST_TEST(harness.trackedBuckets() == 4096u);
    BOOST_TEST(harness.counts()[2] == 0u);
    auto const table = harness.table();
    for (uint32_t index = 0; index < table.bucketCount(); ++index)
        BOOST_REQUIRE(table.at(index).base == noServer);
}

// Guards against deltas that exceed the target for control traffic while many servers change.
BOOST_AUTO_TEST_CASE(bytes_stay_within_the_budget_during_frequent_changes)
{
    auto harness = makeAssignedHarness(14);
    for (int round = 0; round < 40; ++round) {
        auto& server = harness.server(1 + static_cast<uint32_t>(round * 5) % 14);
        server.condition = round % 3 == 0 ? server_condition::Dead : server_condition::Accepting;
        server.weight = 0.5 + round % 4 * 0.5;
        harness.run(500);
    }
    BOOST_TEST(harness.maximumWindowBytes() <= 4096u * 10);
    BOOST_TEST(harness.maximumWindowBytes() <= harness.settings.bytesPerSecond * 10u);
}

struct refused_setting_row {
    char const* expectedText;
    void (*change)(planner_settings&);
};
std::ostream& operator<<(std::ostream& stream, refused_setting_row const& row) { return stream << row.expectedText; }

refused_setting_row const refusedSettingRows[] = {
    { "witness_count", [](planner_settings& settings) { settings.witnessCount = 0; } },
    { "witness_count", [](planner_settings& settings) { settings.witnessCount = 4; } },
    { "budget for table changes", [](planner_settings& settings) { settings.bytesPerSecond = 1; } },
    { "moves a second", [](planner_settings& settings) { settings.movesPerMillePerSecond = 0; } },
    { "intervals", [](planner_settings& settings) { settings.coldStart = std::chrono::seconds { -1 }; } },
};

// Guards against invalid settings that are accepted and prevent the planner from working.
BOOST_DATA_TEST_CASE(invalid_setting_is_rejected, refusedSettingRows, row)
{
    planner_settings settings;
    row.change(settings);
    auto const result = table_planner::create(settings, { host_id { 1 }, 1 });
    BOOST_CHECK(errorKindOf(result.status()) == error_kind::InvalidArgument);
    BOOST_TEST(messageOf(result.status()).find(row.expectedText) != std::string::npos);
}

} // namespace
