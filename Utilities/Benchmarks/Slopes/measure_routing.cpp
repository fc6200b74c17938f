#include "measurements.h"
#include "sample_view.h"
#include "slope_table.h"
#include <allocation_counter.h>
#include <processor_time.h>

#include <Routing/flow_router.h>
#include <algorithm>
#include <random>

namespace bilberryyard {

namespace {

    using namespace std::chrono_literals;

    constexpr service_id service { 1 };
    constexpr monotonic_time start { 1h };
    constexpr int passes = 3;

    void measureFlows()
    {
        slope_table table("flow table of the primary witness, all buckets tracked", "flow entries");
        for (uint32_t const count : { 50'000U, 200'000U, 400'000U, 700'000U, 1'000'000U }) {
            std::vector<parsed_packet> segments;
            for (uint32_t flow = 0; flow < count; ++flow)
                segments.push_back({ sampleFlow(flow, service), packet_kind::TcpSyn, tcp_flags::syn, 1, 1, 0 });
            std::shuffle(segments.begin(), segments.end(), std::mt19937_64(7));
            auto const before = allocation_counter::allocatedBytes();
            flow_router router;
            router.setView(makeSampleView({ 1, 4'096, 14, bucket_phase::Tracked }));
            auto const empty = allocation_counter::allocatedBytes();
            auto begin = processorSeconds();
            for (auto const& segment : segments)
                router.route(segment, std::nullopt, start);
            auto const openingSeconds = processorSeconds() - begin;
            table.add(count, "entries held", static_cast<double>(router.flows().size()));
            table.add(
                count, "bytes held by the entries", static_cast<double>(allocation_counter::allocatedBytes() - empty));
            table.add(
                count, "bytes held by the router", static_cast<double>(allocation_counter::allocatedBytes() - before));
            table.add(count, "ns a decision about a new flow", openingSeconds * 1e9 / count);
            for (auto& segment : segments) {
                segment.kind = packet_kind::TcpSegment;
                segment.tcpFlags = tcp_flags::ack;
            }
            auto bestSeconds = 1e9;
            auto now = start + 100ms;
            for (int pass = 0; pass < passes; ++pass) {
                begin = processorSeconds();
                for (auto const& segment : segments)
                    router.route(segment, std::nullopt, now += 200ns);
                bestSeconds = std::min(bestSeconds, processorSeconds() - begin);
            }
            table.add(count, "ns a decision about a known flow", bestSeconds * 1e9 / count);
        }
        table.print();
    }

    void measureTable()
    {
        slope_table table("one bucket table, stable", "buckets");
        for (uint32_t const count : { 1'024U, 4'096U, 16'384U, 65'536U }) {
            auto const before = allocation_counter::allocatedBytes();
            auto const sample = makeSampleTable({ 1, count, 7, bucket_phase::Stable }, service);
            table.add(count, "bytes of a table", static_cast<double>(allocation_counter::allocatedBytes() - before));
        }
        table.print();
    }

    double microsecondsOfSetView(sample_shape const& shape)
    {
        flow_router router;
        auto const view = makeSampleView(shape);
        router.setView(view);
        auto bestSeconds = 1e9;
        for (int pass = 0; pass < 9; ++pass) {
            auto const next = std::make_shared<routing_view const>(*view);
            auto const begin = processorSeconds();
            router.setView(next);
            bestSeconds = std::min(bestSeconds, processorSeconds() - begin);
        }
        return bestSeconds * 1e6;
    }

    void measureView()
    {
        slope_table services("flow_router::setView, 4,096 buckets and 7 servers a service", "services");
        for (uint32_t const count : { 1U, 4U, 13U, 50U, 200U }) {
            sample_shape const shape { count, 4'096, 7, bucket_phase::Stable };
            services.add(count, "us with unchanged tables", microsecondsOfSetView(shape));
            auto const before = allocation_counter::allocatedBytes();
            auto const view = makeSampleView(shape);
            services.add(count, "bytes of a view", static_cast<double>(allocation_counter::allocatedBytes() - before));
        }
        services.print();
        slope_table buckets("flow_router::setView with a new table, 1 service", "buckets");
        for (uint32_t const count : { 1'024U, 4'096U, 16'384U, 65'536U }) {
            sample_shape const shape { 1, count, 7, bucket_phase::Tracked };
            auto bestSeconds = 1e9;
            flow_router router;
            router.setView(makeSampleView(shape));
            for (int pass = 0; pass < 9; ++pass) {
                auto const next = makeSampleView(shape);
                auto const begin = processorSeconds();
                router.setView(next);
                bestSeconds = std::min(bestSeconds, processorSeconds() - begin);
            }
            buckets.add(count, "us with a new table", bestSeconds * 1e6);
        }
        buckets.print();
    }

} // namespace

absl::Status measureRouting()
{
    measureFlows();
    measureTable();
    measureView();
    return absl::OkStatus();
}

} // namespace bilberryyard
