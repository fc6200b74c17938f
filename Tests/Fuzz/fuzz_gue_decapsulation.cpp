// Guards against reads beyond the end of a datagram, and against an inner packet that changes when it is encapsulated
// and decapsulated again.
#include "fuzz_packets.h"
#include <Packet/gue_encapsulation.h>
#include <algorithm>

using namespace bilberryyard;

namespace {

void decapsulateOne(std::span<uint8_t const> datagram)
{
    auto const inner = decapsulateGue(datagram);
    if (!inner)
        return;
    fuzz::require(inner->data() + inner->size() == datagram.data() + datagram.size());
    std::vector<uint8_t> buffer(datagram.begin(), datagram.end());
    auto const encapsulated = encapsulateGue(buffer, buffer.size() - inner->size());
    fuzz::require(encapsulated.has_value() && (*encapsulated)[1] == datagram[1]);
    fuzz::require(std::ranges::equal(*decapsulateGue(*encapsulated), *inner));
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(uint8_t const* data, size_t size)
{
    decapsulateOne({ data, size });
    // The input as the header in front of a valid packet.
    std::vector<uint8_t> datagram(data, data + size);
    auto const& inner = fuzz::samplePackets()[size % fuzz::samplePackets().size()];
    datagram.insert(datagram.end(), inner.begin(), inner.end());
    decapsulateOne(datagram);
    return 0;
}
