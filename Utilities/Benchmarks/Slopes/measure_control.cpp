#include "log_simulation.h"
#include "measurements.h"
#include "sample_configuration.h"
#include "slope_table.h"
#include <allocation_counter.h>
#include <processor_time.h>

#include <Configuration/configuration_reader.h>
#include <Configuration/configuration_writer.h>
#include <Distribution/distribution_message.h>
#include <algorithm>
#include <functional>
#include <vector>

namespace bilberryyard {

namespace {

    using namespace std::chrono_literals;

    constexpr uint32_t serviceCounts[] = { 100, 400, 1'000, 2'000, 3'300 };
    constexpr uint32_t exceptionChanges = 5;
    constexpr uint32_t defaultVoters = 5;

    /// @return Processor time of the shortest run in microseconds.
    double microsecondsOf(int runs, std::function<void()> const& work)
    {
        auto bestSeconds = 1e9;
        for (int run = 0; run < runs; ++run) {
            auto const begin = processorSeconds();
            work();
            bestSeconds = std::min(bestSeconds, processorSeconds() - begin);
        }
        return bestSeconds * 1e6;
    }

    absl::Status addLog(slope_table& table, double size, uint32_t voters, configuration const& value)
    {
        auto log = log_simulation::create(voters);
        if (!log.ok())
            return log.status();
        if (auto status = log->elect(); !status.ok())
            return status;
        log->resetCost();
        if (auto status = log->idle(10s); !status.ok())
            return status;
        auto const idle = log->cost();
        log->resetCost();
        auto const before = allocation_counter::allocatedBytes();
        if (auto status = log->change(replaceCommand(0, 0, value)); !status.ok())
            return status;
        auto const replaced = log->cost();
        // The idle costs are sums over 10 s, so a processor time is divided by 10 and multiplied by 100 for percent.
        table.add(size, "idle, bytes/s sent, leader", static_cast<double>(idle.leaderBytes) / 10);
        table.add(size, "idle, bytes/s sent, follower", static_cast<double>(idle.followerBytes) / 10);
        table.add(size, "idle, % of a core, leader", idle.leaderSeconds * 10);
        table.add(size, "whole configuration replaced, ms, leader", replaced.leaderSeconds * 1e3);
        table.add(size, "whole configuration replaced, ms, follower", replaced.followerSeconds * 1e3);
        table.add(size, "whole configuration replaced, bytes sent, leader", static_cast<double>(replaced.leaderBytes));
        table.add(size, "bytes held by a member",
            static_cast<double>(allocation_counter::allocatedBytes() - before) / voters);
        log->resetCost();
        for (uint32_t number = 1; number <= exceptionChanges; ++number) {
            if (auto status = log->change(exceptionCommand(number, number)); !status.ok())
                return status;
        }
        // Each change takes 200 ms, a fiftieth of the idle period, so a fiftieth of the idle cost is subtracted.
        auto const cost = log->cost();
        table.add(size, "one exception added, ms, leader",
            (cost.leaderSeconds / exceptionChanges - idle.leaderSeconds / 50) * 1e3);
        table.add(size, "one exception added, ms, follower",
            (cost.followerSeconds / exceptionChanges - idle.followerSeconds / 50) * 1e3);
        table.add(size, "one exception added, bytes sent, leader",
            static_cast<double>(cost.leaderBytes) / exceptionChanges - static_cast<double>(idle.leaderBytes) / 50);
        table.add(size, "snapshot bytes", static_cast<double>(log->leaderState().snapshot().size()));
        return absl::OkStatus();
    }

    absl::Status measureLog()
    {
        slope_table services("replicated log and configuration, 5 members, without sync", "services");
        for (auto const count : serviceCounts) {
            auto const value = makeSampleConfiguration(count);
            if (!value.ok())
                return value.status();
            if (auto status = addLog(services, count, defaultVoters, *value); !status.ok())
                return status;
        }
        services.print();
        slope_table members("replicated log and configuration, 400 services, without sync", "members");
        for (uint32_t const voters : { 3U, 5U, 7U, 11U }) {
            auto const value = makeSampleConfiguration(400);
            if (!value.ok())
                return value.status();
            if (auto status = addLog(members, voters, voters, *value); !status.ok())
                return status;
        }
        members.print();
        return absl::OkStatus();
    }

    absl::Status measureHistory()
    {
        slope_table table("state machine, 100 services", "changes applied");
        for (uint32_t const count : { 100U, 200U, 400U, 800U }) {
            auto const value = makeSampleConfiguration(100);
            if (!value.ok())
                return value.status();
            auto const before = allocation_counter::allocatedBytes();
            configuration_state_machine machine;
            machine.apply(replaceCommand(0, 0, *value).encode());
            // Each exception is removed by the next change, so that only the history grows.
            for (uint32_t number = 1; number < count; number += 2) {
                auto const added = exceptionCommand(number, number);
                auto removed = exceptionCommand(number + 1, number + 1);
                auto const& exception = std::get<add_exception_change>(added.change).exception;
                removed.change = remove_exception_change { exception.target, exception.key };
                for (auto const& command : { added, removed }) {
                    if (auto const result = machine.apply(command.encode()); !result.isAccepted())
                        return result.toStatus();
                }
            }
            table.add(count, "bytes held", static_cast<double>(allocation_counter::allocatedBytes() - before));
            table.add(count, "snapshot bytes", static_cast<double>(machine.snapshot().size()));
        }
        table.print();
        return absl::OkStatus();
    }

    absl::Status measureDistribution()
    {
        slope_table table("distribution messages", "services");
        for (auto const count : serviceCounts) {
            auto const value = makeSampleConfiguration(count);
            if (!value.ok())
                return value.status();
            configuration_response response { 1, 1, 2, writeConfiguration(*value), false };
            auto const encoded = response.encode();
            table.add(count, "answer with the configuration, bytes", static_cast<double>(encoded.size()));
            table.add(count, "writing the configuration as YAML, ms",
                microsecondsOf(2, [&] { writeConfiguration(*value); }) / 1e3);
            table.add(
                count, "answer with the configuration, us to encode", microsecondsOf(20, [&] { response.encode(); }));
            table.add(count, "answer with the configuration, us to decode",
                microsecondsOf(20, [&] { configuration_response::decode(encoded).IgnoreError(); }));
            absl::Status status;
            size_t allocated = 0;
            auto const reading = microsecondsOf(2, [&] {
                auto const before = allocation_counter::allocatedBytes();
                auto const read = configuration_reader("response").read(response.yaml);
                allocated = allocation_counter::allocatedBytes() - before;
                status = read.status();
            });
            if (!status.ok())
                return status;
            table.add(count, "reading the YAML at a subscriber, ms", reading / 1e3);
            table.add(count, "bytes held by the read configuration", static_cast<double>(allocated));
        }
        table.print();
        slope_table polls("long poll without news: request and answer, encoded and decoded", "subscribers");
        for (uint32_t const count : { 300U, 750U, 1'500U, 3'000U }) {
            size_t bytes = 0;
            auto const time = microsecondsOf(5, [&] {
                bytes = 0;
                for (uint32_t host = 1; host <= count; ++host) {
                    configuration_request const request { 1, host_id { host }, 1, 10'000, "zone1", 40'000, 1 };
                    auto const encodedRequest = request.encode();
                    configuration_request::decode(encodedRequest).IgnoreError();
                    configuration_response const response { 1, 40'000, 10'000, {}, false };
                    auto const encodedResponse = response.encode();
                    configuration_response::decode(encodedResponse).IgnoreError();
                    bytes += encodedRequest.size() + encodedResponse.size();
                }
            });
            polls.add(count, "us for one round of all subscribers", time);
            polls.add(count, "bytes of one round of all subscribers", static_cast<double>(bytes));
        }
        polls.print();
        return absl::OkStatus();
    }

} // namespace

absl::Status measureControl()
{
    if (auto status = measureDistribution(); !status.ok())
        return status;
    if (auto status = measureLog(); !status.ok())
        return status;
    return measureHistory();
}

} // namespace bilberryyard
