#include "measurements.h"

#include <Base/error_kind.h>
#include <cstdio>
#include <cstring>

// Prints how the cost of each part grows with its input, and the least-squares slope and intercept. Memory is
// counted at operator new by the usable size of each block; time is the processor time of the thread.
// docs/CAPACITY.md uses the figures. Usage: benchmark_slopes [routing|forwarding|coordination|control]

using namespace bilberryyard;

namespace {

struct part {
    char const* name;
    absl::Status (*measure)();
};

constexpr part parts[] = { { "routing", measureRouting }, { "forwarding", measureForwarding },
    { "coordination", measureCoordination }, { "control", measureControl } };

} // namespace

int main(int argc, char** argv)
{
    bool isKnown = argc < 2;
    for (auto const& [name, measure] : parts) {
        if (argc > 1 && std::strcmp(argv[1], name) != 0)
            continue;
        isKnown = true;
        if (auto const status = measure(); !status.ok()) {
            std::fprintf(stderr, "benchmark_slopes: %s: %s\n", name, messageOf(status).c_str());
            return presentationFor(errorKindOf(status)).exitCode;
        }
    }
    if (!isKnown) {
        std::fprintf(stderr, "benchmark_slopes: unknown part; use routing, forwarding, coordination or control\n");
        return presentationFor(error_kind::InvalidArgument).exitCode;
    }
    return 0;
}
