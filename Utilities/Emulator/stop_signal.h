#pragma once

namespace bilberryyard {

/// Makes SIGTERM and SIGINT ask for a graceful stop instead of ending the process.
void installStopSignals();

/// @return Whether a graceful stop was asked for.
bool stopRequested();

} // namespace bilberryyard
