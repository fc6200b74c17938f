#include "../ControlMessages/control_samples.h"
#include <ControlMessages/control_codec.h>
#include <cstdlib>
#include <string>

namespace {

using namespace bilberryyard;

constexpr uint32_t deployment = 0;
control_codec const codec(deployment);

// Encoding and decoding a decoded message again must give an equal message.
void check(std::string_view bytes)
{
    auto const decoded = codec.decode(bytes);
    if (!decoded.ok())
        return;
    auto const again = codec.decode(codec.encode(*decoded));
    if (!again.ok() || *again != *decoded)
        std::abort();
}

} // namespace

// Decodes the input itself, and a valid message modified by it: the first byte selects the message, the others are
// pairs of offset and new value.
extern "C" int LLVMFuzzerTestOneInput(uint8_t const* data, size_t size)
{
    check({ reinterpret_cast<char const*>(data), size });
    if (size < 3)
        return 0;
    static auto const messages = samples::controlMessages();
    auto bytes = codec.encode(messages[data[0] % messages.size()].message);
    for (size_t index = 1; index + 1 < size; index += 2)
        bytes[data[index] % bytes.size()] = static_cast<char>(data[index + 1]);
    check(bytes);
    return 0;
}
