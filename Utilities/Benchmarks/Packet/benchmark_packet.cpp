// Measures the per-packet processing time of Libraries/Packet. Usage: Build/bin/benchmark_packet
#include <Packet/gue_encapsulation.h>
#include <Packet/icmp_error.h>
#include <Packet/packet_builder.h>
#include <Packet/parsed_packet.h>
#include <Packet/rejection.h>
#include <Packet/udp_packet_io.h>
#include <array>
#include <benchmark/benchmark.h>
#include <vector>

namespace bilberryyard {

namespace {

    // Large enough that the branch predictor cannot memorise the sequence of packets.
    constexpr size_t packetCount = 4096;
    constexpr size_t payloadSize = 64;

    flow_key flowOf(size_t index, bool isIpv4)
    {
        ip_address source = *ip_address::parse(isIpv4 ? "192.0.2.0" : "2001:db8::");
        source.bytes[15] = static_cast<uint8_t>(index + 1);
        auto const service = *ip_address::parse(isIpv4 ? "198.51.100.1" : "2001:db8:f::1");
        return { source, service, static_cast<uint16_t>(1024 + index), 80 };
    }

    enum class traffic {
        Ipv4Segments,
        Ipv6Segments,
        Mixed,
    };

    std::vector<uint8_t> makePacket(size_t index, traffic kind)
    {
        bool const isIpv4 = kind == traffic::Ipv4Segments || (kind == traffic::Mixed && index % 3 != 0);
        auto const builder = *packet_builder::create(flowOf(index, isIpv4));
        std::vector<uint8_t> const payload(payloadSize, 'x');
        auto const number = static_cast<uint32_t>(index);
        if (kind != traffic::Mixed || index % 8 < 5)
            return builder.tcp({ tcp_flags::ack, number, number }, payload);
        return index % 8 < 7 ? builder.tcp({ tcp_flags::syn, number }) : builder.udp(payload);
    }

    std::vector<std::vector<uint8_t>> makePackets(traffic kind)
    {
        std::vector<std::vector<uint8_t>> packets;
        packets.reserve(packetCount);
        for (size_t index = 0; index < packetCount; ++index)
            packets.push_back(makePacket(index, kind));
        return packets;
    }

    void measureParsing(benchmark::State& state, traffic kind)
    {
        auto const packets = makePackets(kind);
        size_t accepted = 0;
        size_t index = 0;
        for ([[maybe_unused]] auto iteration : state) {
            auto const result = parsePacket(packets[index++ % packetCount]);
            benchmark::DoNotOptimize(result);
            accepted += std::holds_alternative<parsed_packet>(result) ? 1 : 0;
        }
        if (accepted != static_cast<size_t>(state.iterations()))
            state.SkipWithError("the parser rejected a valid packet");
        state.SetItemsProcessed(state.iterations());
    }

    void measureEncapsulation(benchmark::State& state)
    {
        auto packet = makePacket(0, traffic::Ipv4Segments);
        packet.insert(packet.begin(), packetHeadroom, 0);
        for ([[maybe_unused]] auto iteration : state)
            benchmark::DoNotOptimize(encapsulateGue(packet, packetHeadroom));
        state.SetItemsProcessed(state.iterations());
    }

    void measureReset(benchmark::State& state)
    {
        auto const packets = makePackets(traffic::Ipv4Segments);
        std::array<uint8_t, maximumRejectionSize> output {};
        size_t index = 0;
        for ([[maybe_unused]] auto iteration : state)
            benchmark::DoNotOptimize(buildTcpReset(packets[index++ % packetCount], output));
        state.SetItemsProcessed(state.iterations());
    }

    // Sends batches over loopback and receives them in the same thread, so the time includes both directions.
    void measureLoopback(benchmark::State& state)
    {
        ip_endpoint const anyPort { *ip_address::parse("127.0.0.1"), 0 };
        auto sender = udp_packet_io::create(anyPort);
        auto receiver = udp_packet_io::create(anyPort);
        if (!sender.ok() || !receiver.ok()) {
            state.SkipWithError("cannot open the UDP sockets");
            return;
        }
        auto const packets = makePackets(traffic::Ipv4Segments);
        auto const count = static_cast<size_t>(state.range(0));
        packet_batch batch(count, 2048);
        std::vector<outgoing_packet> outgoing;
        for (size_t index = 0; index < count; ++index)
            outgoing.push_back({ packets[index], receiver->localEndpoint() });
        for ([[maybe_unused]] auto iteration : state) {
            sender->send(outgoing);
            receiver->receive(batch);
        }
        state.SetItemsProcessed(static_cast<int64_t>(receiver->counters().receivedPackets));
        state.counters["lost"]
            = static_cast<double>(sender->counters().sentPackets - receiver->counters().receivedPackets);
    }

    BENCHMARK_CAPTURE(measureParsing, ipv4, traffic::Ipv4Segments);
    BENCHMARK_CAPTURE(measureParsing, ipv6, traffic::Ipv6Segments);
    BENCHMARK_CAPTURE(measureParsing, mixed, traffic::Mixed);
    BENCHMARK(measureEncapsulation);
    BENCHMARK(measureReset);
    BENCHMARK(measureLoopback)->Arg(1)->Arg(64);

} // namespace

} // namespace bilberryyard
