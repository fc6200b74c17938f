#include <Base/boot_clock.h>

#include <ctime>

namespace bilberryyard {

monotonic_time bootTime()
{
    timespec value {};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return monotonic_time(std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec));
}

} // namespace bilberryyard
