#include "schedule_policies.h"
#include "schedule_runner.h"
#include <Consensus/consensus_member_implementation.h>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <thread>

// Usage: test_consensus --run_test=schedules -- --shard=N | --seed=N
// Without an argument, shard 0 runs. Each of the four shards runs a quarter of the seeds.

namespace {

constexpr uint64_t schedulesPerShard = 2600;

std::optional<uint64_t> argument(std::string const& name)
{
    auto const& suite = boost::unit_test::framework::master_test_suite();
    auto const prefix = "--" + name + "=";
    for (int i = 1; i < suite.argc; ++i) {
        std::string const value = suite.argv[i];
        if (value.starts_with(prefix))
            return std::strtoull(value.c_str() + prefix.size(), nullptr, 10);
    }
    return std::nullopt;
}

void print(uint64_t seed, schedule_result const& result)
{
    for (auto const& line : result.trace)
        BOOST_TEST_MESSAGE(line);
    BOOST_TEST_MESSAGE(
        "seed " << seed << ": " << result.violation.value_or("no violation") << "; trace hash " << result.traceHash);
}

// Guards against lost, reordered, changed or repeated accepted proposals, stale reads and lasting unavailability under
// random schedules of faults.
BOOST_AUTO_TEST_SUITE(schedules)

BOOST_AUTO_TEST_CASE(no_schedule_violates_a_guarantee)
{
    auto const singleSeed = argument("seed");
    auto const shard = argument("shard").value_or(0);
    auto const first = singleSeed.value_or(shard * schedulesPerShard);
    auto const count = singleSeed ? 1 : schedulesPerShard;
    schedule_result total;
    uint64_t failures = 0;
    for (auto seed = first; seed < first + count; ++seed) {
        auto const result = schedule_runner<schedule_policy>(seed, singleSeed ? tracing::On : tracing::Off).run();
        total.accepted += result.accepted;
        total.reads += result.reads;
        total.diskLosses += result.diskLosses;
        total.replacements += result.replacements;
        total.snapshotsInstalled += result.snapshotsInstalled;
        total.storageErrors += result.storageErrors;
        BOOST_TEST(!result.violation, "seed " << seed << ": " << result.violation.value_or(""));
        if (singleSeed)
            print(seed, result);
        if (result.violation && !singleSeed && ++failures <= 3)
            print(seed, schedule_runner<schedule_policy>(seed, tracing::On).run());
    }
    BOOST_TEST_MESSAGE(count << " schedules from seed " << first << ": " << total.accepted << " proposals accepted, "
                             << total.reads << " reads served, " << total.diskLosses << " disks lost, "
                             << total.replacements << " members replaced, " << total.snapshotsInstalled
                             << " snapshots installed, " << total.storageErrors << " storage errors");
    // Guards against a simulation without proposals, reads and faults, which would pass every check.
    if (!singleSeed) {
        BOOST_TEST(total.accepted > count * 10);
        BOOST_TEST(total.reads > count * 10);
        BOOST_TEST(total.replacements > count / 2);
        BOOST_TEST(total.diskLosses > count / 2);
        BOOST_TEST(total.snapshotsInstalled > count);
        BOOST_TEST(total.storageErrors > count / 10);
    }
}

template <typename Policy>
std::optional<uint64_t> firstViolation(uint64_t maximum, uint64_t first = 0, uint64_t step = 1)
{
    for (auto seed = first; seed < maximum; seed += step) {
        auto const result = schedule_runner<Policy>(seed, tracing::Off).run();
        if (!result.violation)
            continue;
        BOOST_TEST_MESSAGE("seed " << seed << ": " << *result.violation);
        return seed;
    }
    return std::nullopt;
}

// Each guards against checks that do not detect that one safety mechanism is disabled.
BOOST_AUTO_TEST_CASE(sending_before_sync_is_detected)
{
    BOOST_TEST(firstViolation<sends_before_sync>(3000).has_value());
}
BOOST_AUTO_TEST_CASE(committing_earlier_terms_is_detected)
{
    BOOST_TEST(firstViolation<commits_earlier_terms>(24000, 5, 8).has_value());
}
BOOST_AUTO_TEST_CASE(reading_without_lease_is_detected)
{
    BOOST_TEST(firstViolation<reads_without_lease>(3000).has_value());
}
BOOST_AUTO_TEST_CASE(voting_during_the_lease_is_detected)
{
    BOOST_TEST(firstViolation<votes_during_lease>(24000, 6, 8).has_value());
}
BOOST_AUTO_TEST_CASE(concurrent_changes_are_detected)
{
    BOOST_TEST(firstViolation<changes_concurrently>(3000).has_value());
}
BOOST_AUTO_TEST_CASE(reusing_identity_after_disk_loss_is_detected)
{
    BOOST_TEST(firstViolation<reuses_identity_after_disk_loss>(3000).has_value());
}

// Guards against randomness that does not depend on the seed, which would make a failing seed irreproducible.
BOOST_AUTO_TEST_CASE(same_seed_gives_same_trace)
{
    for (uint64_t seed = 0; seed < 20; ++seed) {
        auto const first = schedule_runner<schedule_policy>(seed, tracing::Off).run();
        auto const second = schedule_runner<schedule_policy>(seed, tracing::On).run();
        BOOST_TEST(first.traceHash == second.traceHash, "seed " << seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
