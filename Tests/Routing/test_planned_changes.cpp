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

/// A scenario, and what makes it fail: without that it would prove nothing.
struct scenario_row {
    char const* name;
    ablation failsWith;
    void (*apply)(std::function<void(std::chrono::milliseconds, int)> const& act);
};

enum scenario_action { Join, Drain, MoveOn, Restart, Kill, KillNext, Freeze, FailServer };

std::ostream& operator<<(std::ostream& stream, scenario_row const& row) { return stream << row.name; }

using act_function = std::function<void(std::chrono::milliseconds, int)>;

scenario_row const scenarios[] = {
    { "join", ablation::ConsistentHash, [](act_function const& act) { act(3s, Join); } },
    { "join with a late phase one", ablation::SinglePhase, [](act_function const& act) { act(3s, Join); } },
    { "join with duplicated SYNs", ablation::NoSynGrace, [](act_function const& act) { act(3s, Join); } },
    { "drain", ablation::Maglev, [](act_function const& act) { act(3s, Drain); } },
    { "weight change", ablation::ConsistentHash, [](act_function const& act) { act(3s, MoveOn); } },
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
    { "blank host and change at once", ablation::Maglev,
        [](act_function const& act) {
            act(3s, Restart);
            act(3s, Join);
        } },
    { "two changes in a row", ablation::Maglev,
        [](act_function const& act) {
            act(3s, Join);
            act(3'250ms, MoveOn);
            act(5s, Drain);
        } },
    { "witness death and change at once", ablation::SingleWitness,
        [](act_function const& act) {
            act(2'500ms, Join);
            act(5s, Kill);
            act(5s, MoveOn);
        } },
    { "second witness death after the repair", ablation::NoTransfer,
        [](act_function const& act) {
            act(1s, Join);
            act(5s, Kill);
            act(9s, KillNext);
        } },
    { "frozen host during a change", ablation::EndlessLease,
        [](act_function const& act) {
            act(2'900ms, Freeze);
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
            case MoveOn:
                return network.move(someBuckets, 7);
            case Drain:
                return network.drain(2);
            case Restart:
                return network.restart(2);
            case Kill:
                return network.kill(3);
            case KillNext:
                return network.kill(2);
            case Freeze:
                return network.freeze(3, time + 3s);
            default:
                return network.failServer(4);
            }
        });
    });
    return network.run(15s);
}

network_findings runWith(scenario_row const& row, ablation off, uint64_t seed)
{
    if (off == ablation::ConsistentHash)
        return runScenario<consistent_hash_router>(row, { .seed = seed });
    if (off == ablation::Maglev)
        return runScenario<maglev_router>(row, { .seed = seed });
    fake_network<flow_router>::options chosen { .seed = seed };
    chosen.singlePhase = off == ablation::SinglePhase;
    chosen.endlessLease = off == ablation::EndlessLease;
    chosen.sameIncarnation = off == ablation::SameIncarnation;
    chosen.skipTransfer = off == ablation::NoTransfer;
    chosen.witnesses = off == ablation::SingleWitness ? 1 : 2;
    // The grace period alone hides updates that differ for less than its length.
    if (off == ablation::NoSynGrace || off == ablation::SinglePhase)
        chosen.makeRouter = [] { return flow_router({ .synGrace = 0ms }); };
    return runScenario<flow_router>(row, chosen);
}

int const seeds[] = { 1, 2, 3, 4, 5, 6, 7, 8 };
int const lossySeeds[] = { 1, 2, 3 };

// Guards against a planned change, host failure or suspension that breaks a flow, moves a duplicate or reaches
// another service, whatever host each packet arrives at and whenever updates arrive (P1, P2, P5, P6, F1 to F3).
BOOST_DATA_TEST_CASE(no_flow_breaks, scenarios* boost::unit_test::data::make(seeds), row, seed)
{
    auto const found = runScenario<flow_router>(
        row, { .seed = static_cast<uint64_t>(seed), .witnesses = static_cast<uint8_t>(2 + seed % 2) });
    BOOST_TEST(found.total() == 0, row.name << " with seed " << seed << ": " << found);
}

// Guards against records that are lost or overtaken, so that witnesses disagree. A SYN that is lost three times stays
// unanswered until the end of the run, which is no fault.
BOOST_DATA_TEST_CASE(no_flow_breaks_with_lossy_relays, scenarios* boost::unit_test::data::make(lossySeeds), row, seed)
{
    auto found = runScenario<flow_router>(row,
        { .seed = static_cast<uint64_t>(seed), .lossyRelays = true, .witnesses = static_cast<uint8_t>(2 + seed % 2) });
    found.neverEstablished = 0;
    BOOST_TEST(found.total() == 0, row.name << " with seed " << seed << ": " << found);
}

// Guards against scenarios that would pass without the mechanism they are meant for.
BOOST_DATA_TEST_CASE(scenario_fails_without_its_mechanism, scenarios, row)
{
    auto const found = runWith(row, row.failsWith, 1);
    BOOST_TEST_MESSAGE(row.name << " without its mechanism: " << found);
    BOOST_TEST(found.brokenFlows + found.movedDuplicates > 0);
}

} // namespace
