#include "measurements.h"

#include <Base/error_kind.h>
#include <cstdio>
#include <cstring>

// Measures how the cost of each part of the system grows with its input, and prints the measurements with their
// least-squares slope and intercept. Memory is the usable size of all blocks allocated with operator new; time is the
// processor time of the thread. docs/CAPACITY.md uses the results.
// Usage: benchmark_slopes [routing|forwarding|coordination|control|directory]

using namespace bilberryyard;

namespace {

struct benchmark {
    char const* name;
    absl::Status (*measure)();
};

constexpr benchmark benchmarks[] = { { "routing", measureRouting }, { "forwarding", measureForwarding },
    { "coordination", measureCoordination }, { "control", measureControl }, { "directory", measureDirectory } };

} // namespace

int main(int argc, char** argv)
{
    bool isKnown = argc < 2;
    for (auto const& [name, measure] : benchmarks) {
        if (argc > 1 && std::strcmp(argv[1], name) != 0)
            continue;
        isKnown = true;
        if (auto const status = measure(); !status.ok()) {
            std::fprintf(stderr, "benchmark_slopes: %s: %s\n", name, messageOf(status).c_str());
            return presentationFor(errorKindOf(status)).exitCode;
        }
    }
    if (!isKnown) {
        std::fprintf(stderr,
            "benchmark_slopes: unknown benchmark; use routing, forwarding, coordination, control or directory\n");
        return presentationFor(error_kind::InvalidArgument).exitCode;
    }
    return 0;
}
