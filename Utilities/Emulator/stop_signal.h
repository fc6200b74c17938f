#pragma once

namespace bilberryyard {

/// Makes SIGTERM and SIGINT request a graceful stop instead of ending the process.
void installStopSignals();

/// @return Whether a graceful stop was requested.
bool stopRequested();

} // namespace bilberryyard
