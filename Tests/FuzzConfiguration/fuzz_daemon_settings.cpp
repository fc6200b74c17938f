#include <Base/error_kind.h>
#include <Configuration/daemon_settings.h>
#include <cstdlib>

// Reads arbitrary settings files. Every error message must start with the file name.
extern "C" int LLVMFuzzerTestOneInput(uint8_t const* data, size_t size)
{
    using namespace bilberryyard;
    auto const settings = daemon_settings::read({ reinterpret_cast<char const*>(data), size }, "fuzz.yaml");
    if (!settings.ok() && !messageOf(settings.status()).starts_with("fuzz.yaml:"))
        std::abort();
    return 0;
}
