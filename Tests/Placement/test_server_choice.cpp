// The choice of servers by many balancers that decide alone, compared with a choice that knows every server's requests.
#include "placement_fixture.h"

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <queue>
#include <random>

using namespace bilberryyard;

namespace {

enum class chooser : uint8_t {
    Balancers,
    JoinShortestQueue,
};

/// Results over the measured time.
struct choice_result {
    /// Standard deviation of the busy slots of a server, divided by the mean.
    double imbalance = 0;
    double meanMs = 0;
    /// Share of the requests that took longer than the target latency.
    double lateShare = 0;
};

struct choice_row {
    char const* name;
    size_t balancers;
    double load;
    size_t slowServers;
};
std::ostream& operator<<(std::ostream& stream, choice_row const& row) { return stream << row.name; }

constexpr int serverCount = 40;
constexpr auto workTime = std::chrono::milliseconds(34);
constexpr auto targetLatency = std::chrono::milliseconds(500);

/// Requests of one zone, at servers with two slots.
choice_result run(choice_row const& row, chooser chosenBy)
{
    placement_fixture fixture;
    std::vector<backend_pool> pools;
    for (size_t number = 0; number < row.balancers; ++number) {
        auto& pool = pools.emplace_back(placement_settings(), "a", number + 1);
        pool.setDirectoryHealth(directory_health::Stale);
        for (int server = 0; server < serverCount; ++server) {
            if (number == 0)
                fixture.announce(server);
            pool.update(*fixture.directory.find(fixture.nameOf(server)), fixture.now);
        }
    }
    struct completion {
        monotonic_time at;
        size_t balancer;
        int server;
        duration time;
        bool operator<(completion const& other) const { return at > other.at; }
    };
    std::priority_queue<completion> completions;
    std::array<std::array<monotonic_time, 2>, serverCount> slots {};
    std::array<int, serverCount> requests {};
    std::map<uint32_t, int> numbers;
    for (int server = 0; server < serverCount; ++server)
        numbers[fixture.tokenOf(server)] = server;
    std::mt19937 random(7);
    std::lognormal_distribution<double> work(-0.125, 0.5);
    auto const interval = std::chrono::duration_cast<duration>(workTime / (row.load * 2 * serverCount));
    choice_result result;
    double squares = 0;
    double sum = 0;
    double samples = 0;
    double finished = 0;
    auto const start = fixture.now;
    for (auto now = start; now < start + std::chrono::seconds(20); now += interval) {
        bool const isMeasured = now > start + std::chrono::seconds(5);
        for (; !completions.empty() && completions.top().at <= now; completions.pop()) {
            auto const& item = completions.top();
            --requests[static_cast<size_t>(item.server)];
            auto& backend = *pools[item.balancer].find(fixture.tokenOf(item.server));
            --backend.load.busy;
            --backend.load.open;
            pools[item.balancer].recordResponseTime(backend, item.time, item.at, request_kind::Idempotent);
        }
        auto const balancer = random() % pools.size();
        auto& pool = pools[balancer];
        auto server = numbers.at(
            pool.select("orders", request_kind::Idempotent, now, route_importance::Higher, targetLatency)->token);
        if (chosenBy == chooser::JoinShortestQueue)
            server = static_cast<int>(std::min_element(requests.begin(), requests.end()) - requests.begin());
        auto& backend = *pool.find(fixture.tokenOf(server));
        ++backend.load.busy;
        ++backend.load.open;
        ++requests[static_cast<size_t>(server)];
        auto& places = slots[static_cast<size_t>(server)];
        auto& slot = places[0] < places[1] ? places[0] : places[1];
        auto const factor = static_cast<size_t>(server) < row.slowServers ? 5 : 1;
        slot = std::max(slot, now) + std::chrono::duration_cast<duration>(workTime * (factor * work(random)));
        completions.push({ slot, balancer, server, slot - now });
        if (!isMeasured)
            continue;
        ++finished;
        result.meanMs += std::chrono::duration<double, std::milli>(slot - now).count();
        result.lateShare += slot - now > targetLatency ? 1 : 0;
        for (auto const count : requests) {
            squares += count * count;
            sum += count;
            ++samples;
        }
    }
    auto const mean = sum / samples;
    result.imbalance = std::sqrt(std::max(squares / samples - mean * mean, 0.0)) / mean;
    result.meanMs /= finished;
    result.lateShare /= finished;
    return result;
}

choice_row const choiceRows[] = {
    { "82 balancers at 0.4", 82, 0.4, 0 },
    { "82 balancers at 0.65", 82, 0.65, 0 },
    { "82 balancers at 0.5 with slow servers", 82, 0.5, 4 },
    { "5 balancers at 0.65", 5, 0.65, 0 },
    { "5 balancers at 0.5 with slow servers", 5, 0.5, 4 },
};

// Requests of many balancers at the same servers. Guards against a choice that makes balancers follow each other.
BOOST_DATA_TEST_CASE(choice_is_bounded_by_that_of_full_knowledge, choiceRows, row)
{
    auto const actual = run(row, chooser::Balancers);
    auto const best = run(row, chooser::JoinShortestQueue);
    BOOST_TEST_MESSAGE(row.name << ": imbalance " << actual.imbalance << " mean ms " << actual.meanMs << " late "
                                << actual.lateShare << "; full knowledge: " << best.imbalance << " " << best.meanMs
                                << " " << best.lateShare);
    BOOST_TEST(actual.meanMs < 1.4 * best.meanMs);
}

} // namespace
