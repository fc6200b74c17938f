#include <Fleet/fleet_codec.h>
#include <Transport/datagram_fragments.h>
#include <cstdlib>

using namespace bilberryyard;

// Any datagram must be assembled or refused, and any message decoded or refused; a decoded message must survive
// encoding and decoding.
extern "C" int LLVMFuzzerTestOneInput(uint8_t const* data, size_t size)
{
    std::string_view const bytes(reinterpret_cast<char const*>(data), size);
    datagram_assembler assembler;
    assembler.add({ ip_address::fromIpv4(1), 1 }, bytes, {});
    auto const message = decodeFleetMessage(bytes);
    if (!message.ok())
        return 0;
    auto const again = decodeFleetMessage(encodeFleetMessage(*message));
    if (!again.ok() || *again != *message)
        std::abort();
    return 0;
}
