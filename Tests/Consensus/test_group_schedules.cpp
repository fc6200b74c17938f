#include "group_schedule.h"
#include "schedule_policies.h"
#include <Consensus/consensus_member_implementation.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>

// Usage: test_consensus --run_test=group_schedules -- [--group-seed=N | --group-first=N --group-count=N]

namespace {

// Few enough to run with every build; a longer manual run uses --group-count=10000.
constexpr uint64_t defaultCount = 600;

uint64_t groupArgument(std::string const& name, uint64_t fallback)
{
    auto const& suite = boost::unit_test::framework::master_test_suite();
    auto const prefix = "--" + name + "=";
    for (int index = 1; index < suite.argc; ++index) {
        std::string const value = suite.argv[index];
        if (value.starts_with(prefix))
            return std::strtoull(value.c_str() + prefix.size(), nullptr, 10);
    }
    return fallback;
}

BOOST_AUTO_TEST_SUITE(group_schedules)

// Guards against lost or changed accepted proposals and stale reads while the group is bootstrapped, grows, replaces
// unresponsive members and readmits hosts that lost their disks.
BOOST_AUTO_TEST_CASE(bootstrapped_group_preserves_guarantees)
{
    auto const singleSeed = groupArgument("group-seed", UINT64_MAX);
    auto const count = singleSeed == UINT64_MAX ? groupArgument("group-count", defaultCount) : 1;
    auto const first = singleSeed == UINT64_MAX ? groupArgument("group-first", 0) : singleSeed;
    schedule_result total;
    for (auto seed = first; seed < first + count; ++seed) {
        auto const result = group_schedule<schedule_policy>(seed, count == 1 ? tracing::On : tracing::Off).run();
        BOOST_TEST(!result.violation, "group seed " << seed << ": " << result.violation.value_or(""));
        for (auto const& line : result.trace)
            BOOST_TEST_MESSAGE(line);
        total.accepted += result.accepted;
        total.diskLosses += result.diskLosses;
        total.replacements += result.replacements;
    }
    BOOST_TEST_MESSAGE(count << " schedules: " << total.accepted << " proposals accepted, " << total.diskLosses
                             << " disks lost, " << total.replacements << " members admitted");
    // Guards against a simulation without proposals, faults and replacements, which would pass every check.
    if (count > 1) {
        BOOST_TEST(total.accepted > count * 50);
        BOOST_TEST(total.diskLosses > count);
        BOOST_TEST(total.replacements > count * 2);
    }
}

// Regression test: a leader assigned an identifier to an applicant before its admission was committed. The next leader
// rolled back the admission, and the host waited indefinitely.
BOOST_DATA_TEST_CASE(formerly_failing_seeds_pass, boost::unit_test::data::make({ 3789, 8965, 3137 }), seed)
{
    auto const result = group_schedule<schedule_policy>(static_cast<uint64_t>(seed), tracing::Off).run();
    BOOST_TEST(!result.violation, result.violation.value_or(""));
}

// Guards against checks that do not detect a member that votes under its former identifier after a disk loss.
BOOST_AUTO_TEST_CASE(group_member_reusing_identity_is_detected)
{
    bool isDetected = false;
    for (uint64_t seed = 0; seed < 400 && !isDetected; ++seed)
        isDetected = group_schedule<reuses_identity_after_disk_loss>(seed, tracing::Off).run().violation.has_value();
    BOOST_TEST(isDetected);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
