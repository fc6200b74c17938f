#include "mapping_network.h"
#include <Placement/token_mapping_router.h>
#include <Routing/consistent_hash_router.h>
#include <Routing/flow_router.h>
#include <Routing/maglev_router.h>
#include <cstdio>
#include <cstdlib>

// Measures broken flows, wrong-service flows and imbalance of flow_router, token_mapping_router and two baselines on
// the same seeded trace. Prints PASS or FAIL for each target and exits with 1 if a target is missed. Usage:
// benchmark_mapping [SEED] [WITNESSES]

using namespace bilberryyard;
using namespace std::chrono_literals;

namespace {

constexpr uint32_t bucketCount = 4'096;
constexpr uint32_t serverCount = 14;
// In the last two scenarios two of five balancers lose their state at the same time, so two witnesses do not suffice.
constexpr unsigned long defaultWitnesses = 3;
constexpr double imbalanceTarget = 1.10;
constexpr uint64_t flowsPerBrokenFlow = 100'000;
constexpr service_id firstService { 1 };
constexpr service_id secondService { 2 };

enum class host_failure { None, Death };

struct scenario {
    char const* name;
    host_failure failure;
    /// Servers of the first service at the start; 14 accept new flows at the end.
    uint32_t servers;
    /// Number of joins; the imbalance target applies to 14 servers 10 s after a single join.
    int joins;
    std::vector<char const*> events;
};

std::vector<scenario> const scenarios {
    { "join", host_failure::None, serverCount - 1, 1, { "join" } },
    { "drain", host_failure::None, serverCount + 1, 0, { "drain" } },
    { "blank balancer and join", host_failure::None, serverCount - 1, 1, { "blank", "join" } },
    { "balancer death during a change", host_failure::Death, serverCount, 1, { "drain", "wait", "death", "join" } },
    { "all at once", host_failure::Death, serverCount + 1, 1, { "drain", "wait", "death", "blank", "join", "drain" } },
    { "twice in a row", host_failure::Death, serverCount + 1, 2,
        { "drain", "wait", "death", "blank", "join", "drain", "wait", "blank", "join", "drain" } },
};

template <typename Router>
mapping_result runScenario(scenario const& chosen, uint64_t seed, uint8_t witnesses)
{
    mapping_trace trace;
    trace.seed = seed;
    mapping_network<Router> network(
        trace, { { { firstService, chosen.servers }, { secondService, 4 } }, trace.hosts, bucketCount, witnesses });
    network.run(1s);
    uint32_t joined = chosen.servers;
    uint32_t drained = 0;
    for (std::string_view const event : chosen.events) {
        if (event == "join") {
            ++joined;
            network.planner().join(firstService, { firstService.value * 100 + joined });
            network.planner().join(secondService, { secondService.value * 100 + joined });
        } else if (event == "drain") {
            ++drained;
            network.planner().drain(firstService, { firstService.value * 100 + drained });
            network.planner().drain(secondService, { secondService.value * 100 + drained });
        } else if (event == "death") {
            network.kill({ 3 });
        } else if (event == "blank") {
            network.restart({ 4 });
        } else {
            network.run(3s);
            continue;
        }
        network.publish();
    }
    network.run(10s);
    network.checkAllFlows();
    return network.result();
}

void print(char const* router, mapping_result const& result)
{
    std::printf("  %-24s broken flows %7llu   wrong-service flows %llu   imbalance %.3f   relays/packet %.3f   "
                "stalled flows %llu   resent SYNs %llu\n",
        router, static_cast<unsigned long long>(result.brokenFlows),
        static_cast<unsigned long long>(result.wrongServiceFlows), result.imbalance,
        static_cast<double>(result.relays) / static_cast<double>(result.packets),
        static_cast<unsigned long long>(result.stalledFlows), static_cast<unsigned long long>(result.resentSyns));
    std::printf("  %-24s %.2f million decisions/s   %.1f bytes a flow   %.0f kB of tables   %llu copied flows\n", "",
        static_cast<double>(result.timedDecisions) / result.decisionSeconds / 1e6,
        static_cast<double>(result.flowBytes) / mapping_trace().openFlows, static_cast<double>(result.tableBytes) / 1e3,
        static_cast<unsigned long long>(result.copiedFlows));
}

bool check(char const* scenarioName, char const* quantity, double value, double target)
{
    bool const passed = value <= target;
    std::printf(
        "  %s: %s, %s %.3f, target at most %.3f\n", passed ? "PASS" : "FAIL", scenarioName, quantity, value, target);
    return passed;
}

} // namespace

int main(int argc, char** argv)
{
    std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
    uint64_t const seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    auto const witnesses = static_cast<uint8_t>(argc > 2 ? std::strtoul(argv[2], nullptr, 10) : defaultWitnesses);
    if (witnesses < 1 || witnesses > maximumWitnesses) {
        std::fprintf(
            stderr, "usage: benchmark_mapping [SEED] [WITNESSES], with 1 to %zu witnesses\n", maximumWitnesses);
        return 64;
    }
    mapping_trace const sizes;
    std::printf("seed %llu, %u open flows, %u balancers, %u new flows/s, %u witnesses\n",
        static_cast<unsigned long long>(seed), sizes.openFlows, sizes.hosts, sizes.newFlowsPerSecond, witnesses);
    bool passed = true;
    for (auto const& chosen : scenarios) {
        std::printf("%s\n", chosen.name);
        print("consistent_hash_router", runScenario<consistent_hash_router>(chosen, seed, witnesses));
        print("maglev_router", runScenario<maglev_router>(chosen, seed, witnesses));
        auto const result = runScenario<flow_router>(chosen, seed, witnesses);
        print("flow_router", result);
        auto const byToken = runScenario<token_mapping_router>(chosen, seed, witnesses);
        print("token_mapping_router", byToken);
        passed = check(chosen.name, "broken or stalled flows by token",
                     static_cast<double>(byToken.brokenFlows + byToken.stalledFlows + byToken.wrongServiceFlows), 0)
            && passed;
        auto const allowed = chosen.failure == host_failure::None ? 0 : sizes.openFlows / flowsPerBrokenFlow;
        passed = check(chosen.name, "broken or stalled flows",
                     static_cast<double>(result.brokenFlows + result.stalledFlows), static_cast<double>(allowed))
            && passed;
        passed = check(chosen.name, "wrong-service flows", static_cast<double>(result.wrongServiceFlows), 0) && passed;
        if (chosen.joins <= 1)
            passed = check(chosen.name, "imbalance", result.imbalance, imbalanceTarget) && passed;
    }
    return passed ? 0 : 1;
}
