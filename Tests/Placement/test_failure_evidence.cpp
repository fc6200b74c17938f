#include "placement_fixture.h"

#include <Placement/failure_evidence.h>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <ostream>
#include <random>
#include <vector>

namespace {

using namespace bilberryyard;

ip_endpoint hostAddress(uint32_t number) { return { ip_address::fromIpv4(0x0a010000 + number), 7'140 }; }

/// Balancers that place requests on the servers of one service and share what they count through a control host.
class shared_evidence_simulation {
public:
    struct load {
        size_t balancers = 1;
        uint32_t servers = 1;
        /// The first servers fail this share of their requests.
        uint32_t failing = 0;
        double failedShare = 1;
        /// Share of the requests of all servers that look conspicuous without any fault of theirs.
        double normalShare = 0.001;
        /// The same for the requests that pass the first balancer.
        double firstBalancerShare = 0;
        /// Number of servers that this applies to.
        uint32_t firstBalancerServers = 1'000;
        int requestsPerSecond = 1'600;
    };

    shared_evidence_simulation(load const& values, uint64_t seed)
        : m_load(values)
        , m_random(seed)
        , m_balancers(values.balancers, failure_evidence({}))
    {
        for (uint32_t token = 1; token <= values.servers; ++token)
            m_ready.push_back(token);
    }

    void recoverServers() { m_load.failing = 0; }

    void run(int milliseconds)
    {
        for (int time = 0; time < milliseconds; time += stepMs) {
            now += std::chrono::milliseconds(stepMs);
            m_elapsedMs += stepMs;
            for (int count = 0; count < m_load.requestsPerSecond * stepMs / 1'000; ++count)
                sendRequest();
            if (m_elapsedMs % 500 == 0)
                share();
        }
    }

    /// @return Number of (balancer, server) pairs without trust, among these servers.
    size_t untrustedPairs(uint32_t first, uint32_t last, size_t firstBalancer = 0)
    {
        size_t count = 0;
        for (size_t index = firstBalancer; index < m_balancers.size(); ++index) {
            m_balancers[index].evaluate("orders", m_ready, now);
            for (uint32_t token = first; token <= last; ++token)
                count += m_balancers[index].isTrusted(token, request_kind::NonIdempotent, now) ? 0 : 1;
        }
        return count;
    }

    size_t failedRequests() const { return m_failed; }
    monotonic_time now = monotonic_time {} + std::chrono::seconds(1'000);

private:
    static constexpr int stepMs = 10;

    double drawShare() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    void sendRequest()
    {
        auto const index = m_random() % m_balancers.size();
        auto& balancer = m_balancers[index];
        if (balancer.isDue("orders", now))
            balancer.evaluate("orders", m_ready, now);
        auto token = m_ready[m_random() % m_ready.size()];
        for (int attempt = 0; attempt < 20 && !balancer.isTrusted(token, request_kind::Idempotent, now); ++attempt)
            token = m_ready[m_random() % m_ready.size()];
        balancer.recordPlacement(token, now);
        bool const fails = token <= m_load.failing && drawShare() < m_load.failedShare;
        bool const isLossyPath = index == 0 && token <= m_load.firstBalancerServers;
        bool const looksFailed
            = fails || drawShare() < m_load.normalShare || (isLossyPath && drawShare() < m_load.firstBalancerShare);
        m_failed += fails ? 1 : 0;
        balancer.record(token, looksFailed ? response_look::Conspicuous : response_look::Whole, now);
    }

    void share()
    {
        for (uint32_t index = 0; index < m_balancers.size(); ++index) {
            if ((m_elapsedMs / 500 + static_cast<int>(index)) % 2 != 0)
                continue;
            auto const report = m_balancers[index].drainReport(now);
            if (!report.servers.empty())
                m_aggregator.record(hostAddress(index), report, now);
        }
        m_aggregator.expire(now);
        auto const sums = m_aggregator.sums(now);
        for (auto& balancer : m_balancers)
            balancer.setSums(hostAddress(1'000), sums, now);
    }

    load m_load;
    std::mt19937_64 m_random;
    std::vector<failure_evidence> m_balancers;
    std::vector<uint32_t> m_ready;
    failure_aggregator m_aggregator { {} };
    int m_elapsedMs = 0;
    size_t m_failed = 0;
};

struct failing_row {
    char const* name;
    shared_evidence_simulation::load load;
    int detectedAfterMs;
};
std::ostream& operator<<(std::ostream& stream, failing_row const& row) { return stream << row.name; }

failing_row const failingRows[] = {
    { "a tenth fails all requests at once, 82 balancers", { .balancers = 82, .servers = 120, .failing = 12 }, 3'000 },
    { "a tenth fails 40 %, 82 balancers", { .balancers = 82, .servers = 120, .failing = 12, .failedShare = 0.4 },
        5'000 },
    { "a fifth fails half of the requests, 25 balancers",
        { .balancers = 25, .servers = 120, .failing = 25, .failedShare = 0.5 }, 5'000 },
    { "one of two servers fails, 3 balancers", { .balancers = 3, .servers = 2, .failing = 1, .requestsPerSecond = 100 },
        3'000 },
    { "one of eight fails, one balancer", { .balancers = 1, .servers = 8, .failing = 1, .requestsPerSecond = 100 },
        3'000 },
};

// Guards against servers that get flows for as long as they announce themselves, although they fail them: each of many
// balancers sees too little of a server to judge it alone. Healthy servers keep their trust meanwhile, and the failing
// ones regain it after their recovery.
BOOST_DATA_TEST_CASE(failing_servers_lose_trust_until_they_recover, failingRows, row)
{
    shared_evidence_simulation simulation(row.load, 5);
    simulation.run(row.detectedAfterMs);
    auto const pairs = row.load.balancers * row.load.failing;
    BOOST_TEST(simulation.untrustedPairs(1, row.load.failing) * 10 >= pairs * 9);
    BOOST_TEST(simulation.untrustedPairs(row.load.failing + 1, row.load.servers) == 0u);
    auto const failedBefore = simulation.failedRequests();
    simulation.run(2'000);
    auto const failedShare
        = static_cast<double>(simulation.failedRequests() - failedBefore) / (2.0 * row.load.requestsPerSecond);
    BOOST_TEST(failedShare < 0.02);
    simulation.recoverServers();
    simulation.run(15'000);
    BOOST_TEST(simulation.untrustedPairs(1, row.load.servers) == 0u);
}

struct healthy_row {
    char const* name;
    shared_evidence_simulation::load load;
    /// Balancers before this one may distrust servers, by their own observations.
    size_t firstBalancer = 0;
};
std::ostream& operator<<(std::ostream& stream, healthy_row const& row) { return stream << row.name; }

healthy_row const healthyRows[] = {
    { "few callers give up", { .balancers = 82, .servers = 120, .normalShare = 0.01 } },
    { "three responses of ten are naturally short", { .balancers = 25, .servers = 120, .normalShare = 0.3 } },
    { "all servers fail half of the requests", { .balancers = 25, .servers = 30, .normalShare = 0.5 } },
    { "two servers, lossy network", { .balancers = 3, .servers = 2, .normalShare = 0.1, .requestsPerSecond = 100 } },
    { "everything fails on the paths of one balancer", { .balancers = 25, .servers = 120, .firstBalancerShare = 1 },
        1 },
    { "one of three balancers reaches no server of a zone",
        { .balancers = 3, .servers = 6, .firstBalancerShare = 1, .firstBalancerServers = 2, .requestsPerSecond = 200 },
        1 },
    { "half fails on the paths of one balancer", { .balancers = 25, .servers = 120, .firstBalancerShare = 0.5 }, 1 },
};

// Guards against healthy servers without flows: short responses, loss on the way to callers and an unreliable reporter
// are no evidence against a server. The other servers would have to bear its load.
BOOST_DATA_TEST_CASE(healthy_servers_keep_trust, healthyRows* boost::unit_test::data::xrange(1, 6), row, seed)
{
    shared_evidence_simulation simulation(row.load, static_cast<uint64_t>(seed));
    size_t untrusted = 0;
    for (int second = 0; second < 8; ++second) {
        simulation.run(1'000);
        untrusted += simulation.untrustedPairs(1, row.load.servers, row.firstBalancer);
    }
    BOOST_TEST(untrusted == 0u);
}

struct score_row {
    char const* name;
    std::vector<server_counts> servers;
    request_counts rest;
    double minimum;
    double maximum;
};
std::ostream& operator<<(std::ostream& stream, score_row const& row) { return stream << row.name; }

score_row const scoreRows[] = {
    { "first request of a service fails", { { 1, { 0, 0.1 + 0.2 } } }, {}, 0, 0 },
    { "only server with requests fails", { { 1, { 0, 0.989297 } } }, { 0, 1e-17 }, 0, 0 },
    { "all others succeed", { { 1, { 0, 20 } } }, { 500, 0 }, 40, 100 },
    { "all others fail", { { 1, { 0, 20 } } }, { 0, 500 }, 0, 0 },
    { "better than the others", { { 1, { 20, 0 } } }, { 400, 100 }, 0, 0 },
};

// Guards against a score that is no number, which would compare as neither below nor above the threshold.
BOOST_DATA_TEST_CASE(score_is_a_number, scoreRows, row)
{
    auto const scores = scoreServers(row.servers, row.rest, 5, {});
    BOOST_REQUIRE_EQUAL(scores.size(), 1u);
    BOOST_TEST(scores[0].score >= row.minimum);
    BOOST_TEST(scores[0].score <= row.maximum);
}

// Guards against a service without servers: whatever one balancer observes, half of them keep its trust.
BOOST_AUTO_TEST_CASE(half_of_the_servers_keep_trust)
{
    failure_evidence evidence({});
    monotonic_time const now = monotonic_time {} + std::chrono::seconds(1'000);
    std::vector<uint32_t> ready;
    for (uint32_t token = 1; token <= 10; ++token) {
        ready.push_back(token);
        for (int count = 0; count < (token <= 6 ? 20 : 1); ++count)
            evidence.record(token, response_look::Conspicuous, now);
    }
    failure_sums sums { 9, {}, { 500, 0 } };
    for (uint32_t token = 1; token <= 6; ++token)
        sums.servers.push_back({ token, { 0, 20 } });
    evidence.setSums(hostAddress(1), sums, now);
    evidence.evaluate("orders", ready, now);
    BOOST_TEST(evidence.untrustedCount() == 5u);
}

struct probe_row {
    char const* name;
    request_kind kind;
    int afterMs;
    bool isTrusted;
};
std::ostream& operator<<(std::ostream& stream, probe_row const& row) { return stream << row.name; }

probe_row const probeRows[] = {
    { "before the interval", request_kind::Idempotent, 900, false },
    { "idempotent request", request_kind::Idempotent, 1'000, true },
    { "download", request_kind::Download, 1'000, false },
    { "request that must not run twice", request_kind::NonIdempotent, 1'000, false },
    { "upload", request_kind::Upload, 1'000, false },
};

// Guards against probes with requests that are expensive to lose, and against more than one probe at a time.
BOOST_DATA_TEST_CASE(untrusted_server_is_probed_with_idempotent_requests, probeRows, row)
{
    failure_evidence evidence({});
    monotonic_time const now = monotonic_time {} + std::chrono::seconds(1'000);
    std::vector<uint32_t> const ready { 1, 2, 3, 4 };
    for (auto const token : ready) {
        for (int count = 0; count < 20; ++count)
            evidence.record(token, token == 1 ? response_look::Conspicuous : response_look::Whole, now);
    }
    evidence.evaluate("orders", ready, now);
    BOOST_TEST(!evidence.isTrusted(1, row.kind, now));
    BOOST_TEST(evidence.isTrusted(2, row.kind, now));
    auto const later = now + std::chrono::milliseconds(row.afterMs);
    BOOST_TEST(evidence.isTrusted(1, row.kind, later) == row.isTrusted);
    evidence.recordPlacement(1, later);
    BOOST_TEST(!evidence.isTrusted(1, row.kind, later + std::chrono::milliseconds(10)));
}

// Sends one request of a new flow through the router and ends the flow.
uint32_t runRequest(placement_fixture& fixture, uint16_t caller, uint16_t port, int failing)
{
    auto const token = fixture.openEstablished(caller, port);
    bool const fails = token == placement_fixture::tokenOf(failing);
    fixture.request(caller, token, 5'001, port);
    fixture.advance(fails ? 1 : 20);
    auto packet = fixture.packetOf(caller, port);
    packet.token = token;
    packet.sequence = 1'101;
    packet.acknowledgement = 5'001 + (fails ? 40 : 2'000);
    packet.purpose = packet_purpose::Finish;
    fixture.router.decide(packet, fixture.now);
    return token;
}

// A server that fails requests at once is the fastest and has the least load. Guards against most flows going there.
BOOST_AUTO_TEST_CASE(failing_at_once_attracts_no_flows)
{
    placement_fixture fixture;
    for (int number = 1; number <= 4; ++number)
        fixture.announce(number);
    uint16_t caller = 20'000;
    int failed = 0;
    for (int count = 0; count < 40; ++count)
        runRequest(fixture, caller++, placement_fixture::nonIdempotentPort, 0);
    for (int count = 0; count < 100; ++count) {
        auto const token = runRequest(fixture, caller++, placement_fixture::nonIdempotentPort, 1);
        failed += token == placement_fixture::tokenOf(1) ? 1 : 0;
        BOOST_TEST(fixture.router.pool().find(placement_fixture::tokenOf(1))->load.slowness >= 0.9);
    }
    BOOST_TEST(failed <= 12);
    auto const changes = fixture.router.pool().evidence().drainChanges();
    BOOST_REQUIRE(!changes.empty());
    BOOST_TEST(changes[0].score.token == placement_fixture::tokenOf(1));
}

// A server accepts requests and never responds, or resets its flows, which the balancer does not see. Guards against
// evidence that only responses can give.
BOOST_AUTO_TEST_CASE(mute_server_loses_trust)
{
    placement_fixture fixture;
    for (int number = 1; number <= 4; ++number)
        fixture.announce(number);
    uint16_t caller = 20'000;
    for (int count = 0; count < 40; ++count)
        runRequest(fixture, caller++, placement_fixture::nonIdempotentPort, 0);
    auto const mute = placement_fixture::tokenOf(1);
    // Concurrent requests, so that the mute server gets several before its load keeps others away.
    std::map<uint16_t, uint32_t> flows;
    for (int count = 0; count < 60; ++count) {
        auto const token = fixture.openEstablished(++caller, placement_fixture::nonIdempotentPort);
        fixture.request(caller, token, 5'001, placement_fixture::nonIdempotentPort);
        flows[caller] = token;
    }
    fixture.advance(20);
    for (auto const& [waiting, token] : flows) {
        auto packet = fixture.packetOf(waiting, placement_fixture::nonIdempotentPort);
        packet.token = token;
        packet.sequence = 1'101;
        packet.acknowledgement = 7'001;
        packet.purpose = packet_purpose::Finish;
        // Callers of the mute server wait.
        if (token != mute)
            fixture.router.decide(packet, fixture.now);
    }
    fixture.advance(701);
    fixture.router.sweep(fixture.now);
    fixture.router.pool().select("orders", request_kind::NonIdempotent, fixture.now);
    BOOST_TEST(fixture.router.pool().evidence().untrustedCount() == 1u);
    BOOST_TEST(!fixture.router.pool().evidence().isTrusted(mute, request_kind::NonIdempotent, fixture.now));
}

// Two routes with responses of different sizes lead to one service. Guards against short ones that count as failures.
BOOST_AUTO_TEST_CASE(routes_with_small_responses_are_compared_with_themselves)
{
    placement_fixture fixture;
    for (int number = 1; number <= 4; ++number)
        fixture.announce(number);
    uint16_t caller = 20'000;
    for (int count = 0; count < 100; ++count) {
        bool const isSmall = count % 3 == 0;
        auto const port = isSmall ? placement_fixture::nonIdempotentPort : placement_fixture::idempotentPort;
        auto const token = fixture.openEstablished(++caller, port);
        fixture.request(caller, token, 5'001, port);
        fixture.advance(20);
        auto packet = fixture.packetOf(caller, port);
        packet.token = token;
        packet.sequence = 1'101;
        packet.acknowledgement = 5'001 + (isSmall ? 60U : 4'000U);
        packet.purpose = packet_purpose::Finish;
        fixture.router.decide(packet, fixture.now);
    }
    BOOST_TEST(fixture.router.pool().evidence().conspicuousCount() == 0u);
}

} // namespace
