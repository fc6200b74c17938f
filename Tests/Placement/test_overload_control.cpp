// Refusal of new flows under different load patterns; the comment of each test names its pattern.
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

/// A service that responds every 10 ms.
class service_load {
public:
    /// @param time How long the load lasts.
    /// @param responseOf Returns the response time of each request.
    void run(milliseconds time, response_times const& responseOf)
    {
        for (auto const end = now + time; now < end; now += milliseconds(10))
            control.recordLatency("orders", responseOf(m_number++), now);
    }

    /// @return Percentage of callers that are refused.
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
    /// Allowed percentages of refused callers, by the importance of their route.
    int minimumLeastImportantRefusedPercent;
    int maximumLeastImportantRefusedPercent;
    int maximumMoreImportantRefusedPercent;
};
std::ostream& operator<<(std::ostream& stream, load_row const& row) { return stream << row.name; }

load_row const loadRows[] = {
    { "normal load", always(40), milliseconds(10'000), 0, 0, 0 },
    { "short queues at all servers", always(100), milliseconds(10'000), 10, 60, 0 },
    { "full queues at all servers", always(350), milliseconds(10'000), 90, 97, 97 },
    // A third of the servers is five times slower than the others.
    { "some slow servers", [](int number) { return milliseconds(number % 3 == 0 ? 200 : 40); }, milliseconds(10'000), 0,
        0, 0 },
    // Requests that were queued during an outage get late responses, and then the load is normal again.
    { "backlog of an outage", always(350), milliseconds(1'500), 0, 0, 0 },
};

BOOST_DATA_TEST_CASE(new_flows_are_refused_under_lasting_overload_only, loadRows, row)
{
    service_load load;
    load.run(milliseconds(5'000), always(40));
    load.run(row.time, row.responseOf);
    BOOST_TEST(load.refused(route_importance::Least) >= row.minimumLeastImportantRefusedPercent);
    BOOST_TEST(load.refused(route_importance::Least) <= row.maximumLeastImportantRefusedPercent);
    BOOST_TEST(load.refused(route_importance::Higher) <= row.maximumMoreImportantRefusedPercent);
}

// Moderate overload: flows of important routes are admitted while others are refused.
BOOST_AUTO_TEST_CASE(least_important_flows_are_refused_first)
{
    service_load load;
    load.run(milliseconds(5'000), always(40));
    load.run(milliseconds(5'000), always(105));
    BOOST_TEST(load.refused(route_importance::Least) > 30);
    BOOST_TEST(load.refused(route_importance::Higher) == 0);
}

// Slow processing: a service whose response times exceed the target without any queue gains nothing from refusals.
BOOST_AUTO_TEST_CASE(work_that_takes_longer_than_the_target_is_no_overload)
{
    service_load load;
    load.run(milliseconds(20'000), always(400));
    BOOST_TEST(load.refused(route_importance::Least) == 0);
}

// End of overload: callers are admitted again within two seconds of short response times, or without any response.
BOOST_AUTO_TEST_CASE(callers_are_admitted_again_when_the_queue_has_drained)
{
    service_load load;
    load.run(milliseconds(5'000), always(40));
    load.run(milliseconds(10'000), always(350));
    BOOST_REQUIRE(load.refused(route_importance::Least) > 50);
    auto later = load;
    later.now += std::chrono::seconds(2);
    BOOST_TEST(later.refused(route_importance::Least) == 0);
    load.run(milliseconds(2'000), always(40));
    BOOST_TEST(load.refused(route_importance::Least) == 0);
}

// Retries: a refused caller that retries at once is refused again and displaces no other caller. Refused callers are
// admitted again gradually, not all at the same time.
BOOST_AUTO_TEST_CASE(refused_callers_are_admitted_again_gradually)
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
    // Within 100 ms of a refusal period of 2 s, about one caller in twenty gets a new random value.
    BOOST_TEST(most <= callers / 10);
}

} // namespace
