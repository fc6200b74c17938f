#include <platform/announcement_body.h>
#include <platform/boot_settings.h>
#include <platform/configuration_body.h>

using namespace bilberryyard::platform;

// Decoding any body must return a value or an error.
extern "C" int LLVMFuzzerTestOneInput(uint8_t const* data, size_t size)
{
    std::string const text(reinterpret_cast<char const*>(data), size);
    static_cast<void>(readHeartbeat("i-1", text));
    static_cast<void>(readLeave("i-1", text));
    static_cast<void>(readConfiguration(text));
    static_cast<void>(readBootSettings(text));
    return 0;
}
