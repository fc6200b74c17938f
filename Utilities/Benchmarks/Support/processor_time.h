#pragma once

#include <ctime>

namespace bilberryyard {

/// @return the time that this thread ran, in seconds: other processes on the machine do not count
inline double processorSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

} // namespace bilberryyard
