// Each test names the load that it plays against the refusal of new flows.
#include <Base/hashing.h>
#include <Placement/overload_control.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <random>

using namespace bilberryyard;

namespace {

using std::chrono::milliseconds;
using response_times = std::function<milliseconds(int number)>;

constexpr int callers = 400;

/// A service whose answers arrive every 10 ms.
class service_load {
public:
    /// @param time How long.
    /// @param responseOf Time of each answer.
    void run(milliseconds time, response_times const& responseOf)
    {
        for (auto const end = now + time; now < end; now += milliseconds(10))
            control.noteResponse("orders", responseOf(m_number++), now);
    }

    /// @return Share of the callers that are refused, in percent.
    int refused(route_importance importance, milliseconds target = milliseconds(200)) const
    {
        service_route route;
        route.targetLatency = target;
        int count = 0;
        for (uint64_t caller = 0; caller < callers; ++caller)
            count += control.admits("orders", route, importance, hashPair(caller, 1), now) ? 0 : 1;
        return count * 100 / callers;
    }

    monotonic_time now = monotonic_time {} + std::chrono::seconds(1'000);
    overload_control control { placement_settings() };

private:
    int m_number = 0;
};

response_times always(int time)
{
    return [time](int) { return milliseconds(time); };
}

struct load_row {
    char const* name;
    response_times responseOf;
    milliseconds time;
    int leastRefusedFrom;
    int leastRefusedTo;
    int higherRefusedTo;
};
std::ostream& operator<<(std::ostream& stream, load_row const& row) { return stream << row.name; }

load_row const loadRows[] = {
    { "usual load", always(40), milliseconds(10'000), 0, 0, 0 },
    { "queues everywhere", always(100), milliseconds(10'000), 10, 60, 0 },
    { "full queues everywhere", always(350), milliseconds(10'000), 90, 97, 97 },
    // A third of the servers is five times slower; the others are not.
    { "some slow servers", [](int number) { return milliseconds(number % 3 == 0 ? 200 : 40); }, milliseconds(10'000), 0,
        0, 0 },
    // What gathered during an outage is answered late, and then everything is well.
    { "backlog of an outage", always(350), milliseconds(1'500), 0, 0, 0 },
};

BOOST_DATA_TEST_CASE(new_flows_are_refused_under_lasting_overload_only, loadRows, row)
{
    service_load load;
    load.run(milliseconds(5'000), always(40));
    load.run(row.time, row.responseOf);
    BOOST_TEST(load.refused(route_importance::Least) >= row.leastRefusedFrom);
    BOOST_TEST(load.refused(route_importance::Least) <= row.leastRefusedTo);
    BOOST_TEST(load.refused(route_importance::Higher) <= row.higherRefusedTo);
}

// Moderate overload: flows of important routes go on while others are refused.
BOOST_AUTO_TEST_CASE(least_important_flows_give_way_first)
{
    service_load load;
    load.run(milliseconds(5'000), always(40));
    load.run(milliseconds(5'000), always(105));
    BOOST_TEST(load.refused(route_importance::Least) > 30);
    BOOST_TEST(load.refused(route_importance::Higher) == 0);
}

// Slow work: a service that takes longer than its target without any queue gains nothing by refusals.
BOOST_AUTO_TEST_CASE(work_that_takes_longer_than_the_target_is_no_overload)
{
    service_load load;
    load.run(milliseconds(20'000), always(400));
    BOOST_TEST(load.refused(route_importance::Least) == 0);
}

// End of overload: callers are taken again within two seconds of short answers, and after silence.
BOOST_AUTO_TEST_CASE(callers_return_when_the_queue_has_drained)
{
    service_load load;
    load.run(milliseconds(5'000), always(40));
    load.run(milliseconds(10'000), always(350));
    BOOST_REQUIRE(load.refused(route_importance::Least) > 50);
    auto silent = load;
    silent.now += std::chrono::seconds(2);
    BOOST_TEST(silent.refused(route_importance::Least) == 0);
    load.run(milliseconds(2'000), always(40));
    BOOST_TEST(load.refused(route_importance::Least) == 0);
}

// Retries: a refused caller that tries again at once gets the same answer and pushes nobody out, and callers return
// one by one instead of together.
BOOST_AUTO_TEST_CASE(refused_callers_return_one_by_one)
{
    service_load load;
    load.run(milliseconds(5'000), always(40));
    load.run(milliseconds(10'000), always(110));
    service_route route;
    route.targetLatency = milliseconds(200);
    int most = 0;
    int changed = 0;
    for (int step = 0; step < 20; ++step) {
        int changes = 0;
        for (uint64_t caller = 0; caller < callers; ++caller) {
            auto const hash = hashPair(caller, 1);
            auto const before = load.control.admits("orders", route, route_importance::Least, hash, load.now);
            auto const after
                = load.control.admits("orders", route, route_importance::Least, hash, load.now + milliseconds(100));
            changes += before == after ? 0 : 1;
        }
        load.run(milliseconds(100), always(110));
        most = std::max(most, changes);
        changed += changes;
    }
    BOOST_TEST(changed > 0);
    // Within 100 ms of a period of 2 s, about one caller in twenty draws again.
    BOOST_TEST(most <= callers / 10);
}

} // namespace
