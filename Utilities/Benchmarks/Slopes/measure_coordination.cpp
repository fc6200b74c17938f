#include "measurements.h"
#include "pool_simulation.h"
#include "slope_table.h"

#include <chrono>

namespace bilberryyard {

namespace {

    using namespace std::chrono_literals;

    constexpr duration settleTimeout = 60s;
    constexpr duration processorTimeWindow = 2s;
    // Long enough to include the periodic full server records.
    constexpr duration trafficWindow = 10s;

    absl::Status addPool(slope_table& table, double size, pool_shape const& shape)
    {
        auto pool = pool_simulation::create(shape);
        if (!pool.ok())
            return pool.status();
        auto const settled = pool->settle(settleTimeout);
        if (!settled.ok())
            return settled.status();
        table.add(size, "simulated s until all buckets are stable (limit 60)",
            std::chrono::duration<double>(*settled).count());
        auto const timed = pool->measure(processorTimeWindow, pool_simulation::daemonStepInterval);
        if (!timed.ok())
            return timed.status();
        table.add(size, "% of a core, planner", timed->plannerShare * 100);
        table.add(size, "% of a core, other host", timed->otherShare * 100);
        auto const cost = pool->measure(trafficWindow, pool_simulation::longStepInterval);
        if (!cost.ok())
            return cost.status();
        table.add(size, "% of a core with 100 ms steps, other host", cost->otherShare * 100);
        table.add(size, "bytes/s sent, planner", cost->plannerBytesSent);
        table.add(size, "bytes/s sent, other host", cost->otherBytesSent);
        table.add(size, "bytes/s received, mean host", cost->bytesReceived);
        table.add(size, "messages/s sent, mean host", cost->messagesSent);
        table.add(size, "heartbeat bytes/s, mean host", cost->bytesByKind[0]);
        table.add(size, "record bytes/s, mean host", cost->bytesByKind[1]);
        table.add(size, "evidence bytes/s, mean host", cost->bytesByKind[2]);
        table.add(size, "table bytes/s, mean host", cost->bytesByKind[3]);
        table.add(size, "bytes held by a coordinator", cost->memoryBytes);
        return absl::OkStatus();
    }

    absl::Status measureAgainst(char const* name, uint32_t pool_shape::*member, std::vector<uint32_t> const& sizes)
    {
        slope_table table("balancer_coordinator, else 12 hosts, 84 servers, 13 services, 512 buckets", name);
        for (auto const size : sizes) {
            pool_shape shape;
            shape.*member = size;
            if (auto status = addPool(table, size, shape); !status.ok())
                return status;
        }
        table.print();
        return absl::OkStatus();
    }

    // 21,000 servers and 3,300 addresses over 3,000 daemons are 7 servers and 1.1 addresses per host.
    absl::Status measureWholePools()
    {
        slope_table table("balancer_coordinator, pools with 7 servers and 1.1 services a host, 512 buckets", "hosts");
        for (uint32_t const hosts : { 4U, 8U, 12U, 16U }) {
            if (auto status = addPool(table, hosts, { hosts, hosts * 7, (hosts * 11 + 5) / 10 }); !status.ok())
                return status;
        }
        table.print();
        return absl::OkStatus();
    }

} // namespace

absl::Status measureCoordination()
{
    if (auto status = measureWholePools(); !status.ok())
        return status;
    if (auto status = measureAgainst("hosts", &pool_shape::hosts, { 4, 8, 12, 16 }); !status.ok())
        return status;
    if (auto status = measureAgainst("servers", &pool_shape::servers, { 28, 56, 84, 168 }); !status.ok())
        return status;
    if (auto status = measureAgainst("services", &pool_shape::services, { 4, 8, 13, 20 }); !status.ok())
        return status;
    return measureAgainst("buckets a service", &pool_shape::bucketCount, { 256, 512, 1'024, 2'048 });
}

} // namespace bilberryyard
