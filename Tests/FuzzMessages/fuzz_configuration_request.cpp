#include <Distribution/distribution_message.h>
#include <cstdlib>

// Decodes arbitrary bytes. Encoding and decoding an accepted message again must give an equal message.
extern "C" int LLVMFuzzerTestOneInput(uint8_t const* data, size_t size)
{
    using namespace bilberryyard;
    auto const decoded = configuration_request::decode({ reinterpret_cast<char const*>(data), size });
    if (!decoded.ok())
        return 0;
    auto const again = configuration_request::decode(decoded->encode());
    if (!again.ok() || *again != *decoded)
        std::abort();
    return 0;
}
