#include <Base/log_event.h>

#include <array>

namespace bilberryyard {

namespace {

    constexpr std::array eventTable {
        events::daemonStarted,
        events::daemonStopping,
        events::daemonStopped,
        events::settingsRefused,
        events::startFailed,
        events::packetSocketError,
        events::tableChanged,
        events::serverJoined,
        events::serverLeaseExpired,
        events::serverDraining,
        events::configurationInForce,
        events::configurationRefused,
        events::configurationNotSaved,
        events::savedConfigurationDamaged,
        events::memberStarted,
        events::waitingToBeAdded,
        events::storageFailed,
        events::memberRemoved,
        events::httpListenFailed,
    };

} // namespace

std::span<log_event const> allLogEvents() { return eventTable; }

} // namespace bilberryyard
