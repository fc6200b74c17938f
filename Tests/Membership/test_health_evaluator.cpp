#include <Base/error_kind.h>
#include <Membership/health_evaluator.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <deque>
#include <random>

using namespace bilberryyard;

namespace {

monotonic_time at(int milliseconds) { return monotonic_time {} + std::chrono::milliseconds { milliseconds }; }

std::set<server_id> serversUpTo(uint32_t count)
{
    std::set<server_id> result;
    for (uint32_t id = 1; id <= count; ++id)
        result.insert(server_id { id });
    return result;
}

server_announcement announcementWith(uint32_t busySlots, uint32_t connections = 100)
{
    server_announcement result;
    result.state = server_state::Serving;
    result.slots = 3;
    result.connectionLimit = 2000;
    result.load = { busySlots, 0, connections };
    return result;
}

/// Feeds an evaluator with the statistics of 4 sampled handshakes per second and server.
class handshake_feed {
public:
    explicit handshake_feed(uint32_t serverCount, uint32_t seed = 1)
        : evaluator(health_evaluator::create({}).value())
        , servers(serversUpTo(serverCount))
        , random(seed)
    {
    }

    /// @param failure Probability that a handshake with a server fails.
    template <typename Failure>
    void run(int seconds, Failure failure)
    {
        for (int second = 0; second < seconds; ++second, ++now) {
            for (auto const server : servers) {
                if (evaluations[server].isEjected)
                    continue;
                // Callers without a response repeat the SYN after 1 s and 3 s.
                auto& repeatedSynsOfServer = repeatedSyns[server];
                handshake_statistics statistics { server, 4, repeatedSynsOfServer[now], 0 };
                for (int handshake = 0; handshake < 4; ++handshake) {
                    if (std::uniform_real_distribution<>()(random) >= failure(server.value)) {
                        statistics.progressed += hostsCountingProgress;
                        continue;
                    }
                    ++repeatedSynsOfServer[now + 1];
                    ++repeatedSynsOfServer[now + 3];
                }
                evaluator.observe(statistics, at(now * 1000));
            }
            evaluations = evaluator.evaluate(servers, at(now * 1000 + 500));
            for (auto const server : servers)
                ejectedSeconds[server.value] += evaluations[server].isEjected ? 1 : 0;
        }
    }

    size_t ejectedCount() const
    {
        return std::count_if(
            evaluations.begin(), evaluations.end(), [](auto const& item) { return item.second.isEjected; });
    }

    health_evaluator evaluator;
    std::set<server_id> servers;
    std::mt19937 random;
    int now = 0;
    uint32_t hostsCountingProgress = 1;
    std::map<server_id, std::map<int, uint32_t>> repeatedSyns;
    std::map<server_id, health_evaluation> evaluations;
    std::map<uint32_t, int> ejectedSeconds;
};

// Guards against a server that reports to be healthy while none, or less than half, of its handshakes succeed.
BOOST_DATA_TEST_CASE(failing_server_is_ejected_whatever_it_reports, boost::unit_test::data::make({ 1.0, 0.75 }), ratio)
{
    handshake_feed feed(14);
    for (auto const server : feed.servers)
        feed.evaluator.report(server, announcementWith(0), at(0));
    feed.run(10, [&](uint32_t id) { return id == 5 ? ratio : 0.0; });
    for (auto const& [server, seconds] : feed.ejectedSeconds)
        BOOST_TEST((seconds > 0) == (server == 5u));
}

// Guards against failures that stay hidden because several hosts count the progress of the successful flows.
BOOST_AUTO_TEST_CASE(progress_counted_by_several_hosts_hides_no_failure)
{
    handshake_feed feed(14);
    feed.hostsCountingProgress = 4;
    feed.run(10, [](uint32_t id) { return id == 5 ? 0.75 : 0.0; });
    BOOST_TEST(feed.ejectedSeconds[5] > 0);
}

// Guards against ejections for a fault of the callers or the network, which affects all servers alike.
BOOST_DATA_TEST_CASE(common_failure_ejects_none,
    boost::unit_test::data::xrange(1u, 6u) * boost::unit_test::data::make({ 0.3, 0.6, 0.9, 1.0 }), seed, ratio)
{
    handshake_feed feed(14, seed);
    feed.run(300, [&](uint32_t) { return ratio; });
    for (auto const& [server, seconds] : feed.ejectedSeconds)
        BOOST_TEST(seconds == 0);
}

struct cap_row {
    uint32_t servers;
    uint32_t failing;
    size_t expected;
};
std::ostream& operator<<(std::ostream& stream, cap_row const& row)
{
    return stream << row.failing << " of " << row.servers << " fail";
}

cap_row const capRows[] = { { 14, 6, 4 }, { 10, 3, 3 }, { 4, 2, 1 }, { 3, 1, 0 }, { 1, 1, 0 } };

// Guards against ejecting more than 30% of a service's servers, and against ejecting its last server.
BOOST_DATA_TEST_CASE(ejections_are_capped, capRows, row)
{
    handshake_feed feed(row.servers);
    feed.run(7, [&](uint32_t id) { return id <= row.failing ? 1.0 : 0.0; });
    BOOST_TEST(feed.ejectedCount() == row.expected);
}

// Guards against a server that stays ejected after it has recovered, and against one that returns every few seconds
// although it still fails.
BOOST_AUTO_TEST_CASE(back_off_doubles_and_ends)
{
    handshake_feed feed(14);
    auto const fails = [](uint32_t id) { return id == 5 ? 1.0 : 0.0; };
    feed.run(300, fails);
    BOOST_TEST(feed.ejectedSeconds[5] > 220);
    feed.run(61, [](uint32_t) { return 0.0; });
    BOOST_TEST(!feed.evaluations[server_id { 5 }].isEjected);
    auto const before = feed.ejectedSeconds[5];
    feed.run(70, [](uint32_t) { return 0.0; });
    BOOST_TEST(feed.ejectedSeconds[5] == before);
    feed.run(11, fails);
    BOOST_TEST(feed.ejectedSeconds[5] > before);
    BOOST_TEST(feed.ejectedSeconds[5] <= before + 6);
}

// Guards against the ejection of a server that refuses handshakes because it is at its connection limit.
BOOST_AUTO_TEST_CASE(server_near_its_connection_limit_is_not_ejected)
{
    handshake_feed feed(14);
    feed.evaluator.report(server_id { 5 }, announcementWith(3, 1900), at(0));
    feed.run(10, [](uint32_t id) { return id == 5 ? 0.8 : 0.0; });
    BOOST_TEST(feed.ejectedCount() == 0u);
}

struct load_row {
    double capacity;
    int lagSeconds;
};
std::ostream& operator<<(std::ostream& stream, load_row const& row)
{
    return stream << "capacity " << row.capacity << " lag " << row.lagSeconds;
}

load_row const loadRows[] = { { 1.0, 1 }, { 1.0, 20 }, { 0.6, 1 }, { 0.6, 20 }, { 0.3, 20 }, { 3.0, 60 } };

// Guards against weights that oscillate when reports lag, exceed the cap, or react to noise among equal servers. One of
// 14 servers has another capacity; its load follows its weight with the given lag.
BOOST_DATA_TEST_CASE(weights_do_not_oscillate, loadRows, row)
{
    auto evaluator = health_evaluator::create({}).value();
    auto const servers = serversUpTo(14);
    std::map<server_id, std::deque<double>> history;
    std::mt19937 random(7);
    std::map<server_id, health_evaluation> evaluations = evaluator.evaluate(servers, at(0));
    std::vector<double> lastMinutes;
    for (int second = 0; second < 1200; ++second) {
        double total = 0;
        for (auto const& [server, evaluation] : evaluations)
            total += evaluation.weight;
        for (auto const server : servers) {
            auto& past = history[server];
            past.push_back(evaluations[server].weight / total * 14);
            double const share
                = past[past.size() > static_cast<size_t>(row.lagSeconds) ? past.size() - 1 - row.lagSeconds : 0];
            double const capacity = server.value == 5 ? row.capacity : 1.0;
            std::poisson_distribution<uint32_t> slots(30 * share / capacity * 0.5);
            auto announcement = announcementWith(slots(random));
            announcement.slots = 30;
            evaluator.report(server, announcement, at(second * 1000));
        }
        evaluations = evaluator.evaluate(servers, at(second * 1000));
        for (auto const& [server, evaluation] : evaluations) {
            BOOST_REQUIRE(evaluation.weight >= 0.5 && evaluation.weight <= 2.0);
            if (row.capacity == 1.0)
                BOOST_REQUIRE_EQUAL(evaluation.weight, 1.0);
        }
        if (second >= 600)
            lastMinutes.push_back(evaluations[server_id { 5 }].weight);
    }
    auto const [least, most] = std::minmax_element(lastMinutes.begin(), lastMinutes.end());
    BOOST_TEST(*most - *least <= 0.25);
    if (row.capacity != 1.0)
        BOOST_TEST((row.capacity < 1) == (*most < 1));
}

struct refused_setting_row {
    char const* settingName;
    void (*change)(health_settings&);
};
std::ostream& operator<<(std::ostream& stream, refused_setting_row const& row) { return stream << row.settingName; }

refused_setting_row const refusedSettingRows[] = {
    { "window", [](health_settings& settings) { settings.window = {}; } },
    { "failure ratio", [](health_settings& settings) { settings.failureRatio = std::nan(""); } },
    { "ejection cap", [](health_settings& settings) { settings.ejectionCap = 1; } },
    { "back-off", [](health_settings& settings) { settings.maximumBackOff = std::chrono::seconds { 1 }; } },
    { "report_weight_cap", [](health_settings& settings) { settings.weightCap = 0.5; } },
    { "load tolerance", [](health_settings& settings) { settings.loadTolerance = -1; } },
};

// Guards against settings that silently disable the evaluation or eject every server.
BOOST_DATA_TEST_CASE(bad_setting_is_refused, refusedSettingRows, row)
{
    health_settings settings;
    row.change(settings);
    auto const result = health_evaluator::create(settings);
    BOOST_CHECK(errorKindOf(result.status()) == error_kind::InvalidArgument);
    BOOST_TEST(messageOf(result.status()).find(row.settingName) != std::string::npos);
}

} // namespace
