// Guards against reads beyond the end of a datagram, and against a header that a balancer forwards with other contents
// than it received.
#include "fuzz_packets.h"
#include <Packet/relay_header.h>
#include <algorithm>

using namespace bilberryyard;

namespace {

void decodeOne(std::span<uint8_t const> bytes)
{
    auto const header = decodeRelayHeader(bytes);
    if (header)
        fuzz::require(std::ranges::equal(encodeRelayHeader(*header), bytes.first(relayHeaderSize)));
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(uint8_t const* data, size_t size)
{
    decodeOne({ data, size });
    // The same bytes with a valid magic number and version.
    std::vector<uint8_t> prefixed(data, data + size);
    auto const valid = encodeRelayHeader({});
    std::copy_n(valid.begin(), std::min<size_t>(prefixed.size(), 3), prefixed.begin());
    decodeOne(prefixed);
    return 0;
}
