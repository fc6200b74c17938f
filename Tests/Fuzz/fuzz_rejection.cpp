// Guards against writes beyond the output buffer, rejections that are not valid packets, and rejections sent in
// response to rejections.
#include "fuzz_packets.h"
#include <Packet/parsed_packet.h>
#include <Packet/rejection.h>
#include <array>
#include <memory>

using namespace bilberryyard;

namespace {

using builder_function = std::optional<size_t> (*)(std::span<uint8_t const>, std::span<uint8_t>) noexcept;

void rejectOne(builder_function build, std::span<uint8_t const> offending, size_t outputSize)
{
    // Allocates exactly the output size, so that AddressSanitizer detects a write beyond it.
    auto const memory = std::make_unique<uint8_t[]>(outputSize);
    auto const size = build(offending, { memory.get(), outputSize });
    if (!size)
        return;
    fuzz::require(*size <= outputSize && *size <= maximumRejectionSize);
    std::span<uint8_t const> const rejection(memory.get(), *size);
    auto const caller = std::get<parsed_packet>(parsePacket(offending)).key;
    auto const parsedRejection = std::get<parsed_packet>(parsePacket(rejection));
    fuzz::require(parsedRejection.key.source == caller.destination && parsedRejection.key.destination == caller.source);
    fuzz::require(parsedRejection.key.sourcePort == caller.destinationPort
        && parsedRejection.key.destinationPort == caller.sourcePort);
    std::array<uint8_t, maximumRejectionSize> again {};
    fuzz::require(!buildTcpReset(rejection, again) && !buildPortUnreachable(rejection, again));
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(uint8_t const* data, size_t size)
{
    size_t const shortOutput = size > 0 ? data[size - 1] : 0;
    fuzz::forEachPacket({ data, size }, [&](std::span<uint8_t const> packet) {
        for (auto const build : { &buildTcpReset, &buildPortUnreachable }) {
            rejectOne(build, packet, maximumRejectionSize);
            rejectOne(build, packet, shortOutput);
        }
    });
    return 0;
}
