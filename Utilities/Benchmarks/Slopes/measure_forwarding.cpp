#include "measurements.h"
#include "memory_packet_io.h"
#include "sample_view.h"
#include "slope_table.h"
#include <processor_time.h>

#include <Base/error_kind.h>
#include <Forwarding/packet_processor.h>
#include <Packet/packet_builder.h>
#include <Routing/flow_router.h>

namespace bilberryyard {

namespace {

    using namespace std::chrono_literals;

    constexpr uint32_t packetCount = 50'000;
    constexpr uint32_t handshakeSampleInterval = 16;
    constexpr size_t maximumWatchedFlows = 65'536;
    constexpr int passes = 5;

    absl::StatusOr<double> nanosecondsPerPacket(sample_shape const& shape, size_t payloadSize)
    {
        std::vector<uint8_t> const payload(payloadSize, 'x');
        std::vector<std::vector<uint8_t>> packets;
        for (uint32_t flow = 0; flow < packetCount; ++flow) {
            auto const builder = packet_builder::create(sampleFlow(flow, service_id { flow % shape.services + 1 }));
            if (!builder.ok())
                return builder.status();
            packets.push_back(builder->tcp({ tcp_flags::ack, 1, 1 }, payload));
        }
        memory_packet_io fabric(std::move(packets));
        memory_packet_io relay({});
        flow_router router;
        processor_counters counters;
        handshake_observer observer(handshakeSampleInterval, maximumWatchedFlows);
        packet_processor processor(processor_settings {}, router, fabric, relay, counters, observer);
        auto view = std::make_shared<forwarding_view>();
        view->routing = makeSampleView(shape);
        for (auto const& [server, state] : view->routing->servers)
            view->servers[server] = { ip_address::fromIpv4(0x0A400000U + server.value), 6'080 };
        processor.setView(view);
        auto bestSeconds = 1e9;
        for (int pass = 0; pass < passes; ++pass) {
            fabric.rewind();
            monotonic_time now { 1h };
            auto const begin = processorSeconds();
            while (processor.step(now += 25us) > 0) { }
            bestSeconds = std::min(bestSeconds, processorSeconds() - begin);
        }
        if (counters.toServers != uint64_t { packetCount } * passes)
            return makeError(error_kind::Internal, "packets were not forwarded");
        return bestSeconds * 1e9 / packetCount;
    }

} // namespace

absl::Status measureForwarding()
{
    slope_table sizes("packet_processor: parse, decide, encapsulate; stable buckets, 13 services", "payload bytes");
    for (size_t const size : { 0U, 200U, 700U, 1'400U }) {
        auto const time = nanosecondsPerPacket({ 13, 4'096, 7, bucket_phase::Stable }, size);
        if (!time.ok())
            return time.status();
        sizes.add(static_cast<double>(size), "ns a packet", *time);
    }
    sizes.print();
    slope_table services("packet_processor, 200 bytes of payload, 7 servers a service", "services");
    for (uint32_t const count : { 1U, 13U, 50U, 200U }) {
        auto const time = nanosecondsPerPacket({ count, 4'096, 7, bucket_phase::Stable }, 200);
        if (!time.ok())
            return time.status();
        services.add(count, "ns a packet", *time);
    }
    services.print();
    return absl::OkStatus();
}

} // namespace bilberryyard
