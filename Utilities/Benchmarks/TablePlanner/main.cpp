#include <Routing/delta_builder.h>
#include <Routing/table_planner.h>
#include <Routing/table_replica.h>
#include <array>
#include <cstdio>
#include <ctime>
#include <vector>

using namespace bilberryyard;

namespace {

constexpr service_id service { 1 };
constexpr uint32_t hostCount = 5;
constexpr duration stepInterval = std::chrono::milliseconds { 100 };

struct benchmark_size {
    uint32_t servers;
    uint32_t buckets;
};

/// The number of buckets per server, about 293, is close to that of the first deployments.
constexpr std::array sizes { benchmark_size { 14, 4096 }, benchmark_size { 56, 16384 }, benchmark_size { 224, 65536 },
    benchmark_size { 896, 262144 } };

/// Cost of a number of steps, during a rollout or without changes.
struct planner_cost {
    double plannerSeconds = 0;
    double replicaSeconds = 0;
    uint64_t bytes = 0;
    uint64_t changedBuckets = 0;
    uint32_t steps = 0;
    uint32_t deltas = 0;
};

double processSeconds()
{
    timespec value {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &value);
    return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_nsec) * 1e-9;
}

/// A planner whose peers acknowledge every delta before the next step.
class planner_harness {
public:
    explicit planner_harness(benchmark_size const& size)
        : m_planner(table_planner::create(settings(), { host_id { 1 }, hostIncarnation }).value())
        , m_replica({ bucket_table(service, size.buckets), {} })
    {
        input.self = { host_id { 1 }, hostIncarnation };
        for (uint32_t host = 1; host <= hostCount; ++host) {
            input.configuredHosts.insert(host_id { host });
            input.hosts.push_back({ { host_id { host }, hostIncarnation }, zone_id { host % 3 }, false, {} });
        }
        for (uint32_t server = 0; server < size.servers; ++server)
            addServer(server);
        (void)m_planner.addService(service_traffic::Stream, m_replica.replicated());
        run(50);
    }

    void addServer(uint32_t number)
    {
        // Same layout as the ids of server_directory: 12 bits host, 8 bits incarnation, 12 bits counter.
        uint32_t const id = (number % hostCount + 1) << 20 | (hostIncarnation & 0xff) << 12 | number / hostCount;
        input.servers[service].push_back({ server_id { id }, server_condition::Accepting, 1.0, 0, 0, input.now });
    }

    planner_cost run(uint32_t steps)
    {
        planner_cost cost;
        for (; cost.steps < steps; ++cost.steps) {
            input.now += stepInterval;
            acknowledge();
            auto const start = processSeconds();
            auto const output = m_planner.step(input);
            auto const plannedAt = processSeconds();
            for (auto const& delta : output.deltas) {
                m_replica.received(input.self, delta);
                cost.bytes += estimateDeltaBytes(delta);
                ++cost.deltas;
                for (auto const& change : delta.changes)
                    cost.changedBuckets += change.buckets.size();
            }
            cost.plannerSeconds += plannedAt - start;
            cost.replicaSeconds += processSeconds() - plannedAt;
        }
        return cost;
    }

    uint64_t snapshotBytes() const { return estimateDeltaBytes(m_replica.table().snapshot()); }

    planner_input input;

private:
    /// A time in seconds since 1970, as daemons use it, so that encoded incarnations have a realistic length.
    static constexpr uint32_t hostIncarnation = 1'800'000'000;

    static planner_settings settings()
    {
        planner_settings result;
        // High enough that the byte budget does not slow the rollout down.
        result.bytesPerSecond = 100'000'000;
        return result;
    }

    void acknowledge()
    {
        auto const table = m_planner.replicated(service)->table;
        m_replica.announced(input.self, table.version(), table.digest());
        for (auto& host : input.hosts)
            host.acknowledged[service] = *m_replica.acknowledged(input.self);
    }

    table_planner m_planner;
    table_replica m_replica;
};

struct benchmark_row {
    benchmark_size size;
    planner_cost idle;
    planner_cost join;
    planner_cost death;
    uint64_t stableSnapshot = 0;
    uint64_t trackedSnapshot = 0;
};

benchmark_row measure(benchmark_size const& size)
{
    planner_harness harness(size);
    benchmark_row row { size, harness.run(50), {}, {}, harness.snapshotBytes(), 0 };
    harness.addServer(size.servers);
    row.join = harness.run(100);
    harness.input.servers[service].front().condition = server_condition::Dead;
    row.death = harness.run(50);
    row.trackedSnapshot = harness.snapshotBytes();
    return row;
}

void printRow(benchmark_row const& row)
{
    // Printed below as a share of a core in percent: 10 steps a second, times 100.
    auto const idleStep = row.idle.plannerSeconds / row.idle.steps;
    std::printf("%7u %8u | %10.1f %8.3f | %8llu %7llu %9.1f | %8llu %7llu %9.1f | %9llu %9llu\n", row.size.servers,
        row.size.buckets, idleStep * 1e6, idleStep * 10 * 100, static_cast<unsigned long long>(row.join.bytes),
        static_cast<unsigned long long>(row.join.changedBuckets), row.join.plannerSeconds * 1e3,
        static_cast<unsigned long long>(row.death.bytes), static_cast<unsigned long long>(row.death.changedBuckets),
        row.death.plannerSeconds * 1e3, static_cast<unsigned long long>(row.stableSnapshot),
        static_cast<unsigned long long>(row.trackedSnapshot));
}

void printSlopes(benchmark_row const& first, benchmark_row const& last)
{
    double const servers = last.size.servers - first.size.servers;
    double const idle = last.idle.plannerSeconds / last.idle.steps - first.idle.plannerSeconds / first.idle.steps;
    std::printf("slopes between the first and the last size:\n");
    std::printf("  planner CPU of a step without changes: %.1f ns a server\n", idle / servers * 1e9);
    for (auto const* row : { &first, &last }) {
        std::printf("  %u servers: join %.2f bytes, dead server %.2f bytes for each bucket change and peer; "
                    "replica CPU %.1f us a delta\n",
            row->size.servers, static_cast<double>(row->join.bytes) / static_cast<double>(row->join.changedBuckets),
            static_cast<double>(row->death.bytes) / static_cast<double>(row->death.changedBuckets),
            row->join.replicaSeconds / row->join.deltas * 1e6);
    }
}

} // namespace

/// Prints planner CPU time and delta bytes for four numbers of servers and buckets, for docs/CAPACITY.md.
int main()
{
    std::printf("%u hosts, steps every 100 ms, bytes for each peer\n", hostCount);
    std::printf("                 | step without changes | join of one server         | death of one server        | "
                "snapshot bytes\n");
    std::printf("servers  buckets |    us/step  %% core |    bytes changes    CPU ms |    bytes changes    CPU ms |    "
                "stable   tracked\n");
    std::vector<benchmark_row> rows;
    for (auto const& size : sizes) {
        rows.push_back(measure(size));
        printRow(rows.back());
    }
    printSlopes(rows.front(), rows.back());
    return 0;
}
