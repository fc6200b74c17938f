#pragma once

#include <ctime>

namespace bilberryyard {

/// @return Processor time of this thread in seconds; other processes on the machine do not affect it.
inline double processorSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

} // namespace bilberryyard
