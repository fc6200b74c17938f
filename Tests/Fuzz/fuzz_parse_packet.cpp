// Guards against reads beyond the end of a packet, and against results that are inconsistent with its size or version.
#include "fuzz_packets.h"
#include <Packet/parsed_packet.h>

using namespace bilberryyard;

namespace {

void parseOne(std::span<uint8_t const> bytes)
{
    auto const result = parsePacket(bytes);
    if (auto const* reason = std::get_if<drop_reason>(&result)) {
        // The parser gives only the reasons before NoService; the others are given by the router.
        fuzz::require(*reason < drop_reason::NoService);
        return;
    }
    auto const& packet = std::get<parsed_packet>(result);
    fuzz::require(packet.payloadLength < bytes.size());
    fuzz::require(packet.key.source.isIpv4() == packet.key.destination.isIpv4());
    fuzz::require(packet.key.source.isIpv4() == (bytes[0] >> 4 == 4));
    fuzz::require(packet.key.reserved == 0);
    fuzz::require(packet.kind != packet_kind::TcpSyn || packet.payloadLength == 0);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(uint8_t const* data, size_t size)
{
    fuzz::forEachPacket({ data, size }, parseOne);
    return 0;
}
