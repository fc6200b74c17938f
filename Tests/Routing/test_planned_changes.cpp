#include "fake_network.h"
#include <Routing/consistent_hash_router.h>
#include <Routing/flow_router.h>
#include <Routing/maglev_router.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace bilberryyard;
using namespace bilberryyard::test;

namespace {

enum class ablation {
    /// The consistent hashing baseline.
    ConsistentHash,
    /// The Maglev baseline.
    Maglev,
    SinglePhase,
    NoSynGrace,
    EndlessLease,
    SingleWitness,
    NoTransfer,
    SameIncarnation,
};

std::vector<uint32_t> const someBuckets { 0, 1, 4, 5, 8, 9, 12, 13, 20, 21, 28, 33, 40, 41, 50, 51 };

/// A scenario, and an ablation that must make it fail, which shows that the scenario tests the disabled mechanism.
struct scenario_row {
    char const* name;
    ablation failsWith;
    void (*apply)(std::function<void(std::chrono::milliseconds, int)> const& act);
};

enum scenario_action { Join, Drain, MoveAgain, Restart, Kill, KillSecond, Suspend, FailServer };

std::ostream& operator<<(std::ostream& stream, scenario_row const& row) { return stream << row.name; }

using act_function = std::function<void(std::chrono::milliseconds, int)>;

scenario_row const scenarios[] = {
    { "join", ablation::ConsistentHash, [](act_function const& act) { act(3s, Join); } },
    { "join with a late first phase", ablation::SinglePhase, [](act_function const& act) { act(3s, Join); } },
    { "join with duplicated SYNs", ablation::NoSynGrace, [](act_function const& act) { act(3s, Join); } },
    { "drain", ablation::Maglev, [](act_function const& act) { act(3s, Drain); } },
    { "weight change", ablation::ConsistentHash, [](act_function const& act) { act(3s, MoveAgain); } },
    { "restart with a change", ablation::Maglev,
        [](act_function const& act) {
            act(3s, Join);
            act(4s, Restart);
        } },
    { "restart of a witness", ablation::SameIncarnation,
        [](act_function const& act) {
            act(1s, Join);
            act(5s, Restart);
        } },
    { "restarted host and change at the same time", ablation::Maglev,
        [](act_function const& act) {
            act(3s, Restart);
            act(3s, Join);
        } },
    { "three consecutive changes", ablation::Maglev,
        [](act_function const& act) {
            act(3s, Join);
            act(3'250ms, MoveAgain);
            act(5s, Drain);
        } },
    { "witness failure and change at the same time", ablation::SingleWitness,
        [](act_function const& act) {
            act(2'500ms, Join);
            act(5s, Kill);
            act(5s, MoveAgain);
        } },
    { "second witness failure after the repair", ablation::NoTransfer,
        [](act_function const& act) {
            act(1s, Join);
            act(5s, Kill);
            act(9s, KillSecond);
        } },
    { "suspended host during a change", ablation::EndlessLease,
        [](act_function const& act) {
            act(2'900ms, Suspend);
            act(3s, Join);
        } },
    { "server failure", ablation::ConsistentHash, [](act_function const& act) { act(3s, FailServer); } },
};

template <typename Router>
network_findings runScenario(scenario_row const& row, typename fake_network<Router>::options const& chosen)
{
    fake_network<Router> network(chosen);
    network.openFlows(0ms, 8s, 1'500);
    row.apply([&network](std::chrono::milliseconds time, int action) {
        network.when(time, [&network, action, time] {
            switch (action) {
            case Join:
                return network.move(someBuckets, 6);
            case MoveAgain:
                return network.move(someBuckets, 7);
            case Drain:
                return network.drain(2);
            case Restart:
                return network.restart(2);
            case Kill:
                return network.kill(3);
            case KillSecond:
                return network.kill(2);
            case Suspend:
                return network.suspend(3, time + 3s);
            default:
                return network.failServer(4);
            }
        });
    });
    return network.run(15s);
}

network_findings runWith(scenario_row const& row, ablation disabled, uint64_t seed)
{
    if (disabled == ablation::ConsistentHash)
        return runScenario<consistent_hash_router>(row, { .seed = seed });
    if (disabled == ablation::Maglev)
        return runScenario<maglev_router>(row, { .seed = seed });
    fake_network<flow_router>::options chosen { .seed = seed };
    chosen.singlePhase = disabled == ablation::SinglePhase;
    chosen.endlessLease = disabled == ablation::EndlessLease;
    chosen.sameIncarnation = disabled == ablation::SameIncarnation;
    chosen.skipTransfer = disabled == ablation::NoTransfer;
    chosen.witnesses = disabled == ablation::SingleWitness ? 1 : 2;
    // Without the first phase, the SYN grace period still protects flows if all hosts receive an update within that
    // period, so both ablations disable it.
    if (disabled == ablation::NoSynGrace || disabled == ablation::SinglePhase)
        chosen.makeRouter = [] { return flow_router({ .synGracePeriod = 0ms }); };
    return runScenario<flow_router>(row, chosen);
}

int const seeds[] = { 1, 2, 3, 4, 5, 6, 7, 8 };
int const lossySeeds[] = { 1, 2, 3 };

// Guards against a planned change, host failure or suspension that breaks a flow, sends a duplicate SYN to another
// server or a packet to another service, for any host that a packet arrives at and any time that an update arrives
// (P1, P2, P5, P6, F1 to F3).
BOOST_DATA_TEST_CASE(no_flow_breaks, scenarios* boost::unit_test::data::make(seeds), row, seed)
{
    auto const found = runScenario<flow_router>(
        row, { .seed = static_cast<uint64_t>(seed), .witnesses = static_cast<uint8_t>(2 + seed % 2) });
    BOOST_TEST(found.total() == 0, row.name << " with seed " << seed << ": " << found);
}

// Guards against witnesses with different entries after records were lost or reordered. A SYN that is lost three times
// gets no reply before the end of the run, so flows that were never established are no failure here.
BOOST_DATA_TEST_CASE(no_flow_breaks_with_lossy_relays, scenarios* boost::unit_test::data::make(lossySeeds), row, seed)
{
    auto found = runScenario<flow_router>(row,
        { .seed = static_cast<uint64_t>(seed), .lossyRelays = true, .witnesses = static_cast<uint8_t>(2 + seed % 2) });
    found.neverEstablished = 0;
    BOOST_TEST(found.total() == 0, row.name << " with seed " << seed << ": " << found);
}

// Guards against scenarios that would pass without the mechanism that they test.
BOOST_DATA_TEST_CASE(scenario_fails_without_its_mechanism, scenarios, row)
{
    auto const found = runWith(row, row.failsWith, 1);
    BOOST_TEST_MESSAGE(row.name << " without its mechanism: " << found);
    BOOST_TEST(found.brokenFlows + found.movedDuplicates > 0);
}

} // namespace
