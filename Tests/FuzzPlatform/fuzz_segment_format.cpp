#include <cstdlib>
#include <platform/segment_format.h>
#include <vector>

using bilberryyard::platform::segment_format;

// Any datagram must be decoded or refused. A decoded packet must keep its endpoints when the token is set, and must
// yield a reset.
extern "C" int LLVMFuzzerTestOneInput(uint8_t const* data, size_t size)
{
    std::vector<uint8_t> packet(data, data + size);
    auto const decoded = segment_format::parse(packet);
    if (!decoded)
        return 0;
    if (decoded->payloadBytes + segment_format::headerBytes != packet.size())
        std::abort();
    segment_format::setToken(packet, 7);
    auto const again = segment_format::parse(packet);
    if (!again || again->token != 7 || again->flowEndpoints != decoded->flowEndpoints)
        std::abort();
    if (segment_format::makeReset(*decoded).size() != segment_format::headerBytes)
        std::abort();
    return 0;
}
