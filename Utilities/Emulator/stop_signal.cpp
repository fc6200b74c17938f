#include "stop_signal.h"

#include <csignal>

namespace bilberryyard {

namespace {

    volatile std::sig_atomic_t stopFlag = 0;

    void handleSignal(int) { stopFlag = 1; }

} // namespace

void installStopSignals()
{
    struct sigaction action { };
    action.sa_handler = handleSignal;
    sigaction(SIGTERM, &action, nullptr);
    sigaction(SIGINT, &action, nullptr);
}

bool stopRequested() { return stopFlag != 0; }

} // namespace bilberryyard
